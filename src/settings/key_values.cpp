/// Parsing of `key=value` lines and their typed values.
#include "settings/key_values.hpp"

#include <charconv>
#include <cstdint>
#include <limits>

namespace wingslip::settings {
namespace {

/// Maximum number of items in a list; a longer one indicates damaged settings.
constexpr unsigned kMaxItems = 4096;
/// Maximum number of bytes of a malformed line that its error message quotes.
constexpr std::size_t kMaxQuotedBytes = 60;
constexpr double kMaxUnsigned = std::numeric_limits<std::uint32_t>::max();

std::string_view describe(SettingsError::Kind kind) {
  switch (kind) {
    case SettingsError::Kind::missingEqualsSign:
      return "settings: line without '='";
    case SettingsError::Kind::notANumber:
      return "settings: value of the key is not a number";
    case SettingsError::Kind::outOfRange:
      return "settings: value of the key is outside the range of an unsigned 32-bit integer";
    case SettingsError::Kind::notABoolean:
      return "settings: value of the key is neither true nor false";
    case SettingsError::Kind::unknownValue:
      return "settings: unknown value of the key";
    case SettingsError::Kind::tooManyItems:
      return "settings: list has too many items";
  }
  return "settings";
}

double parseNumber(std::string_view key, std::string_view text) {
  double value = 0;
  const char* const textEnd = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), textEnd, value);
  if (error != std::errc() || end != textEnd) throw SettingsError(SettingsError::Kind::notANumber, key);
  return value;
}

/// Removes the first line with its line ending from `text` and returns it without the line ending.
std::string_view takeLine(std::string_view& text) {
  const auto end = text.find('\n');
  std::string_view line = text.substr(0, end);
  text = end == std::string_view::npos ? std::string_view{} : text.substr(end + 1);
  if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
  return line;
}

}  // namespace

SettingsError::SettingsError(Kind kind, std::string_view where)
    : std::runtime_error(std::string(describe(kind)) + ": " + std::string(where)), kind_(kind) {}

KeyValues::KeyValues(std::string_view text) {
  while (!text.empty()) {
    const std::string_view line = takeLine(text);
    if (line.empty()) continue;
    const auto equalsSign = line.find('=');
    if (equalsSign == std::string_view::npos)
      throw SettingsError(SettingsError::Kind::missingEqualsSign, line.substr(0, kMaxQuotedBytes));
    values_.insert_or_assign(std::string(line.substr(0, equalsSign)),
                             std::string(line.substr(equalsSign + 1)));
  }
}

const std::string* KeyValues::find(const std::string& key) const {
  const auto found = values_.find(key);
  return found == values_.end() ? nullptr : &found->second;
}

double KeyValues::number(const std::string& key, double fallback) const {
  const std::string* value = find(key);
  return value ? parseNumber(key, *value) : fallback;
}

unsigned KeyValues::wholeNumber(const std::string& key, unsigned fallback) const {
  const std::string* value = find(key);
  if (!value) return fallback;
  const double parsed = parseNumber(key, *value);
  if (!(parsed >= 0 && parsed <= kMaxUnsigned)) throw SettingsError(SettingsError::Kind::outOfRange, key);
  return static_cast<unsigned>(parsed);
}

bool KeyValues::boolean(const std::string& key, bool fallback) const {
  const std::string* value = find(key);
  if (!value) return fallback;
  if (*value == "true") return true;
  if (*value == "false") return false;
  throw SettingsError(SettingsError::Kind::notABoolean, key);
}

std::string KeyValues::text(const std::string& key, const std::string& fallback) const {
  const std::string* value = find(key);
  return value ? *value : fallback;
}

std::vector<std::string> KeyValues::words(const std::string& key,
                                          const std::vector<std::string>& fallback) const {
  const std::string* value = find(key);
  if (!value) return fallback;
  std::vector<std::string> words;
  std::string_view remaining = *value;
  while (!remaining.empty()) {
    const auto comma = remaining.find(',');
    words.emplace_back(remaining.substr(0, comma));
    remaining = comma == std::string_view::npos ? std::string_view{} : remaining.substr(comma + 1);
  }
  return words;
}

unsigned KeyValues::itemCount(const std::string& key) const {
  const unsigned count = wholeNumber(key + ".count", 0);
  if (count > kMaxItems) throw SettingsError(SettingsError::Kind::tooManyItems, key);
  return count;
}

}  // namespace wingslip::settings
