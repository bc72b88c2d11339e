/// @file
/// MessagePack, restricted to what the protocols allow: maps with text keys, lists, text, finite
/// numbers, booleans and null.
///
/// Decoding: Document::parse() checks a whole message, Fields reads the fields of a map, elements()
/// those of a list. Encoding: Packer builds a message in the order of the calls.
///
/// DecodeError is the only error type of this package. It is thrown for every input that is not a
/// valid message; encoding does not fail.
#pragma once

#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace elmstall::wire {

/// Input that is not a valid message. The text names the field and the problem.
class DecodeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// A decoded value of any type. It is valid only as long as the Document it belongs to.
using Object = msgpack::object;

/// Read-only access to the fields of a map, which must outlive it. A field that is null counts as
/// missing. All readers throw DecodeError if the field has another type.
class Fields {
 public:
  /// Throws DecodeError if the object is not a map.
  explicit Fields(const Object& object);

  /// The field, or null if it is missing.
  [[nodiscard]] const Object* find(std::string_view key) const;
  /// The field. Throws DecodeError if it is missing.
  [[nodiscard]] const Object& require(std::string_view key) const;
  /// The field, which may be null. Throws DecodeError only if there is no such field.
  [[nodiscard]] const Object& require_or_null(std::string_view key) const;

  /// The text of the field. Throws DecodeError if the field is missing.
  [[nodiscard]] std::string text(std::string_view key) const;
  /// The number in the field. Throws DecodeError if the field is missing.
  [[nodiscard]] double number(std::string_view key) const;
  /// The whole number in the field. Throws DecodeError if the field is missing or negative.
  [[nodiscard]] std::uint64_t integer(std::string_view key) const;
  /// The boolean in the field. Throws DecodeError if the field is missing.
  [[nodiscard]] bool flag(std::string_view key) const;

  /// The text, or nothing if the field is missing.
  [[nodiscard]] std::optional<std::string> maybe_text(std::string_view key) const;
  /// The number, or nothing if the field is missing.
  [[nodiscard]] std::optional<double> maybe_number(std::string_view key) const;
  /// The whole number, or the fallback if the field is missing.
  [[nodiscard]] std::uint64_t integer_or(std::string_view key, std::uint64_t fallback) const;
  /// The boolean, or the fallback if the field is missing.
  [[nodiscard]] bool flag_or(std::string_view key, bool fallback) const;

 private:
  /// The field, which may be null, or a null pointer if there is no such field.
  [[nodiscard]] const Object* field(std::string_view key) const;

  const Object& object_;
};

/// The elements of a list, for a range-based `for`. Valid only as long as the Document.
struct Elements {
  const Object* first = nullptr;  ///< equal to `last` if the list is empty
  const Object* last = nullptr;   ///< one past the last element

  /// The first element, for range-based loops.
  [[nodiscard]] const Object* begin() const { return first; }
  /// One past the last element, for range-based loops.
  [[nodiscard]] const Object* end() const { return last; }
  /// Number of elements.
  [[nodiscard]] std::size_t size() const { return static_cast<std::size_t>(last - first); }
  /// The element at `position`, which must be less than size().
  [[nodiscard]] const Object& operator[](std::size_t position) const { return first[position]; }
};

/// The elements of a list; a null pointer gives none. Throws DecodeError, which names `what`, if
/// the object is not a list.
[[nodiscard]] Elements elements(const Object* object, std::string_view what);
/// The texts of a list; a null pointer gives none. Throws DecodeError, which names `what`, if the
/// object is not a list of texts.
[[nodiscard]] std::vector<std::string> texts(const Object* object, std::string_view what);
/// The value as text. Throws DecodeError, which names `what`, if it is something else.
[[nodiscard]] std::string as_text(const Object& object, std::string_view what);
/// The value as a count. Throws DecodeError, which names `what`, if it is not a whole number or
/// is negative.
[[nodiscard]] std::uint64_t as_integer(const Object& object, std::string_view what);
/// The value as a number. Throws DecodeError, which names `what`, if it is something else.
[[nodiscard]] double as_number(const Object& object, std::string_view what);

/// One whole message. It is checked in full before anything can be read from it.
class Document {
 public:
  /// Throws DecodeError if the bytes are not MessagePack, and also for trailing bytes, binary data,
  /// nesting deeper than constants::kMaxDepth, keys that are not text, and numbers that are not
  /// finite.
  static Document parse(std::string_view bytes);
  /// The message's outermost value.
  [[nodiscard]] const Object& root() const { return handle_.get(); }
  /// The fields of the outermost value. Throws DecodeError if that is not a map.
  [[nodiscard]] Fields fields() const { return Fields(handle_.get()); }

 private:
  msgpack::object_handle handle_;
};

/// Builds one message. map() and list() state the number of fields or elements, and that many
/// have to be added by the following calls. The numbers are not checked.
class Packer {
 public:
  /// Begins an empty message.
  Packer() : packer_(buffer_) {}
  /// Begins a map with this number of fields. For each, call key() and add one value.
  Packer& map(std::size_t size);
  /// Begins a list with this number of elements.
  Packer& list(std::size_t size);
  /// Adds the name of the next field of a map.
  Packer& key(std::string_view name) { return text(name); }
  /// Adds a text.
  Packer& text(std::string_view value);
  /// Adds a whole number that is not negative.
  Packer& integer(std::uint64_t value);
  /// Adds a number. It must be finite, since decoders refuse others.
  Packer& number(double value);
  /// Adds a boolean.
  Packer& flag(bool value);
  /// Adds a null. Fields treats a field that is null as missing.
  Packer& null();
  /// Adds a list of texts.
  Packer& texts(const std::vector<std::string>& values);
  /// Adds the text, or null if there is none.
  Packer& text_or_null(const std::optional<std::string>& value);
  /// Adds the number, or null if there is none.
  Packer& number_or_null(const std::optional<double>& value);
  /// Adds a value that is already encoded as MessagePack. It is not checked.
  Packer& raw(std::string_view packed);
  /// Adds a decoded value.
  Packer& object(const Object& value);
  /// The bytes of the message.
  [[nodiscard]] std::string take() const { return {buffer_.data(), buffer_.size()}; }

 private:
  msgpack::sbuffer buffer_;
  msgpack::packer<msgpack::sbuffer> packer_;
};

/// Upper bound of the size of the value as JSON, in bytes. The state store's size limits apply to
/// the JSON form.
[[nodiscard]] std::size_t json_size(const Object& object);
/// The value as MessagePack.
[[nodiscard]] std::string pack_object(const Object& object);

}  // namespace elmstall::wire
