/// Lines of `key=value` with typed access: the form in which settings reach the simulator's adapter, and to
/// which the gatekeeper's configuration flattens its JSON.
#pragma once

#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace wingslip::settings {

/// Why settings could not be read. `what()` is one plain line.
class SettingsError : public std::runtime_error {
 public:
  enum class Kind { lineWithoutSign, notANumber, notAWholeNumber, notABoolean, unknownWord, tooManyItems };

  /// @param where the key, or the beginning of the line, at fault.
  SettingsError(Kind kind, std::string_view where);
  Kind kind() const { return kind_; }

 private:
  Kind kind_;
};

/// The pairs of one text. Of a key that stands twice the last value counts.
class KeyValues {
 public:
  /// @throws SettingsError on a line without `=`. Empty lines are passed over.
  explicit KeyValues(std::string_view text);

  /// Each returns `fallback` where the key is missing.
  /// @throws SettingsError on a value of another form.
  double number(const std::string& key, double fallback) const;
  /// A fraction is cut off.
  unsigned wholeNumber(const std::string& key, unsigned fallback) const;
  bool boolean(const std::string& key, bool fallback) const;
  std::string text(const std::string& key, const std::string& fallback) const;
  /// A list of words with commas between them.
  std::vector<std::string> words(const std::string& key, const std::vector<std::string>& fallback) const;

  /// The number of items of the list `key`, from its key `KEY.count`; 0 where it is missing.
  /// @throws SettingsError past 4,096.
  unsigned itemCount(const std::string& key) const;

 private:
  /// Null where the key is missing.
  const std::string* find(const std::string& key) const;

  std::map<std::string, std::string, std::less<>> values_;
};

}  // namespace wingslip::settings
