// Wraps Abseil's text functions for std::string_view, which is not absl::string_view in Debian's Abseil.
#ifndef OLEANDER_SRC_SERVING_TEXT_H_
#define OLEANDER_SRC_SERVING_TEXT_H_

#include <string_view>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/string_view.h"

namespace oleander::serving {

inline absl::string_view ToAbslView(std::string_view text) { return {text.data(), text.size()}; }

inline bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(ToAbslView(a), ToAbslView(b));
}
template <class T>
bool ParseInteger(std::string_view text, T* value) {
  return absl::SimpleAtoi(ToAbslView(text), value);
}
inline bool ParseNumber(std::string_view text, double* value) {
  return absl::SimpleAtod(ToAbslView(text), value);
}

// Splits `text` at any of the characters in `separators` and omits empty parts.
inline std::vector<std::string_view> SplitText(std::string_view text, std::string_view separators) {
  std::vector<std::string_view> parts;
  const std::vector<absl::string_view> split =
      absl::StrSplit(ToAbslView(text), absl::ByAnyChar(ToAbslView(separators)), absl::SkipEmpty());
  for (const absl::string_view it : split) parts.emplace_back(it.data(), it.size());
  return parts;
}

}  // namespace oleander::serving

#endif  // OLEANDER_SRC_SERVING_TEXT_H_
