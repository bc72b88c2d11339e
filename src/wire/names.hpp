// Enumerations and amounts as the protocol spells them; for this package alone.
#pragma once

#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "wire/codec.hpp"

namespace elmstall::wire {

/// The words that the protocol uses for the values of an enumeration.
template <typename Enum, std::size_t N>
using Names = std::array<std::pair<std::string_view, Enum>, N>;

/// The value that the text names. Throws DecodeError.
template <typename Enum, std::size_t N>
Enum pick(const Names<Enum, N>& names, std::string_view text, std::string_view field) {
  for (const auto& [name, value] : names) {
    if (name == text) return value;
  }
  throw DecodeError("field '" + std::string(field) +
                    "' has no such value: " + std::string(text.substr(0, 40)));
}

/// As above, for what workers say: a word that is new to us must not cost the
/// whole heartbeat, which would let the worker's lease run out.
template <typename Enum, std::size_t N>
Enum pick_or(const Names<Enum, N>& names, std::string_view text, Enum fallback) {
  for (const auto& [name, value] : names) {
    if (name == text) return value;
  }
  return fallback;
}

/// The word for the value.
template <typename Enum, std::size_t N>
std::string_view name_of(const Names<Enum, N>& names, Enum wanted) {
  for (const auto& [name, value] : names) {
    if (value == wanted) return name;
  }
  return {};
}

/// A number that is not negative. Throws DecodeError.
[[nodiscard]] double amount(const Fields& fields, std::string_view key);
/// The same, 0 when the field is missing.
[[nodiscard]] double amount_or_zero(const Fields& fields, std::string_view key);
/// Throws DecodeError when the text is empty or too long for an id.
void check_text(const std::string& text, std::string_view field);

}  // namespace elmstall::wire
