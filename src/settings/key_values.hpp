/// Lines of `key=value` with typed access: the format in which the simulator's adapter receives its settings,
/// and into which the gatekeeper's JSON configuration is converted.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace wingslip::settings {

/// Thrown for settings that could not be read. `what()` is a single line of text.
class SettingsError : public std::runtime_error {
 public:
  enum class Kind { missingEqualsSign, notANumber, outOfRange, notABoolean, unknownValue, tooManyItems };

  /// @param where the key of the invalid value, or the beginning of the malformed line.
  SettingsError(Kind kind, std::string_view where);
  Kind kind() const { return kind_; }

 private:
  Kind kind_;
};

/// The key-value pairs of a text. Where a key is repeated, its last value is used.
class KeyValues {
 public:
  /// Parses `text`. Empty lines are ignored.
  /// @throws SettingsError on a line without `=`.
  explicit KeyValues(std::string_view text);

  // Each of the following returns `fallback` where the key is missing, and throws SettingsError where the
  // value is not of the requested type.

  /// Accepts `inf` and `nan`.
  double number(const std::string& key, double fallback) const;
  /// A fraction is truncated.
  unsigned wholeNumber(const std::string& key, unsigned fallback) const;
  bool boolean(const std::string& key, bool fallback) const;
  std::string text(const std::string& key, const std::string& fallback) const;
  /// A list of words separated by commas.
  std::vector<std::string> words(const std::string& key, const std::vector<std::string>& fallback) const;

  /// Number of items of the list `key`, read from the key `KEY.count`; 0 where that key is missing.
  /// @throws SettingsError where there are more than 4,096 items.
  unsigned itemCount(const std::string& key) const;

 private:
  /// Returns the value, or null where the key is missing.
  const std::string* find(const std::string& key) const;

  std::map<std::string, std::string, std::less<>> values_;
};

}  // namespace wingslip::settings
