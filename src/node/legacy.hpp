// What a process leaves in a file for the one that an upgrade starts: no more than the module's figures that
// take long to learn.
#pragma once

#include <optional>
#include <string>

namespace burlwind {

struct Legacy {
  double atMs = 0;      // Unix time of the writing
  double warmRate = 0;  // good answers a ms of a warm worker
};

// Both do nothing where no folder is given. What cannot be read, or makes no sense, is not there.
void leave(const std::string& folder, const Legacy& legacy);
std::optional<Legacy> inherit(const std::string& folder);

}  // namespace burlwind
