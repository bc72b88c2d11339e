/// @file
/// Helpers shared by the codecs of this package: names of enumeration values, numbers that must not
/// be negative, and names of limited length. Private to this package.
#pragma once

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wire/codec.hpp"

namespace elmstall::wire {

/// The protocol's name of one enumeration value.
template <typename Enum>
struct EnumName {
  std::string_view text;  ///< the name, as in messages
  Enum value;             ///< the value with this name
};

/// The names of all values of an enumeration.
template <typename Enum, std::size_t N>
using EnumNames = std::array<EnumName<Enum>, N>;

/// The value with this name, or nothing if there is none.
template <typename Enum, std::size_t N>
std::optional<Enum> find_enum(const EnumNames<Enum, N>& names, std::string_view text) {
  for (const auto& name : names) {
    if (name.text == text) return name.value;
  }
  return std::nullopt;
}

/// The value with this name. Throws DecodeError, which names the field, if there is none.
template <typename Enum, std::size_t N>
Enum parse_enum(const EnumNames<Enum, N>& names, std::string_view text, std::string_view field) {
  constexpr std::size_t quoted_length = 40;
  if (const auto value = find_enum(names, text)) return *value;
  throw DecodeError("field '" + std::string(field) +
                    "' has no such value: " + std::string(text.substr(0, quoted_length)));
}

/// The value with this name, or the fallback if there is none. Used for the reports of workers: a
/// name that this program does not know must not invalidate the whole heartbeat, because the
/// worker's lease would then expire.
template <typename Enum, std::size_t N>
Enum parse_enum_or(const EnumNames<Enum, N>& names, std::string_view text, Enum fallback) {
  return find_enum(names, text).value_or(fallback);
}

/// The name of the value; empty if it has none.
template <typename Enum, std::size_t N>
std::string_view name_of(const EnumNames<Enum, N>& names, Enum wanted) {
  for (const auto& name : names) {
    if (name.value == wanted) return name.text;
  }
  return {};
}

/// Reads a number that must not be negative. Throws DecodeError if it is missing or negative.
[[nodiscard]] double amount(const Fields& fields, std::string_view key);
/// Reads a number that must not be negative, or returns 0 if the field is missing.
[[nodiscard]] double amount_or_zero(const Fields& fields, std::string_view key);

/// Whether a message may lack a field.
enum class Presence : std::uint8_t {
  required,  ///< a message without the field is rejected
  optional   ///< a missing field counts as 0
};

/// A field that holds a number, which must not be negative, and the member that stores it.
template <typename Message>
struct AmountField {
  std::string_view name;                   ///< name of the field in messages
  double Message::*member;                 ///< receives the number
  Presence presence = Presence::required;  ///< whether the field may be missing
};

/// Reads the fields into the message. Throws DecodeError if one is negative, or missing though
/// required. An optional field that is missing becomes 0.
template <typename Message, std::size_t N>
void decode_amounts(const Fields& fields, const std::array<AmountField<Message>, N>& table,
                    Message& message) {
  for (const auto& field : table) {
    const bool required = field.presence == Presence::required;
    message.*(field.member) =
        required ? amount(fields, field.name) : amount_or_zero(fields, field.name);
  }
}

/// Adds the fields of the message to the map that is being packed.
template <typename Message, std::size_t N>
void pack_amounts(Packer& packer, const std::array<AmountField<Message>, N>& table,
                  const Message& message) {
  for (const auto& field : table) packer.key(field.name).number(message.*(field.member));
}

/// Throws DecodeError if the text is empty or too long for a name.
void check_name(const std::string& text, std::string_view field);
/// Reads a name. Throws DecodeError if it is missing, empty or too long.
[[nodiscard]] std::string decode_name(const Fields& fields, std::string_view key);

}  // namespace elmstall::wire
