#include "settings/key_values.hpp"

#include <charconv>
#include <cstdint>
#include <limits>

namespace wingslip::settings {
namespace {

/// A longer list is taken for a damaged frame.
constexpr unsigned kMaxItems = 4096;
/// Of a faulty line, what its error repeats.
constexpr std::size_t kMaxQuotedBytes = 60;
constexpr double kMaxWholeNumber = std::numeric_limits<std::uint32_t>::max();

std::string_view describe(SettingsError::Kind kind) {
  switch (kind) {
    case SettingsError::Kind::lineWithoutSign:
      return "settings: a line without '='";
    case SettingsError::Kind::notANumber:
      return "settings: not a number";
    case SettingsError::Kind::notAWholeNumber:
      return "settings: not a whole number";
    case SettingsError::Kind::notABoolean:
      return "settings: neither true nor false";
    case SettingsError::Kind::unknownWord:
      return "settings: unknown word";
    case SettingsError::Kind::tooManyItems:
      return "settings: too many items";
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

/// The first line of `text`, which is removed from it with its end.
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
    const auto sign = line.find('=');
    if (sign == std::string_view::npos)
      throw SettingsError(SettingsError::Kind::lineWithoutSign, line.substr(0, kMaxQuotedBytes));
    values_.insert_or_assign(std::string(line.substr(0, sign)), std::string(line.substr(sign + 1)));
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
  if (!(parsed >= 0 && parsed <= kMaxWholeNumber))
    throw SettingsError(SettingsError::Kind::notAWholeNumber, key);
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
  std::string_view rest = *value;
  while (!rest.empty()) {
    const auto comma = rest.find(',');
    words.emplace_back(rest.substr(0, comma));
    rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
  }
  return words;
}

unsigned KeyValues::itemCount(const std::string& key) const {
  const unsigned count = wholeNumber(key + ".count", 0);
  if (count > kMaxItems) throw SettingsError(SettingsError::Kind::tooManyItems, key);
  return count;
}

}  // namespace wingslip::settings
