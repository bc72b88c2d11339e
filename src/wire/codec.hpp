// MessagePack restricted to what the protocol allows: maps with text keys,
// lists, text, finite numbers, booleans and null.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace elmstall::wire {

/// Input that breaks the protocol. The text names what is wrong.
class DecodeError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

using Object = msgpack::object;

/// Read-only access to the fields of a map. Null counts as missing.
class Fields {
 public:
  explicit Fields(const Object& object);

  [[nodiscard]] const Object* find(std::string_view key) const;
  [[nodiscard]] std::string text(std::string_view key) const;
  [[nodiscard]] std::optional<std::string> maybe_text(std::string_view key) const;
  [[nodiscard]] double number(std::string_view key) const;
  [[nodiscard]] std::optional<double> maybe_number(std::string_view key) const;
  [[nodiscard]] std::uint64_t integer(std::string_view key) const;
  [[nodiscard]] std::uint64_t integer_or(std::string_view key, std::uint64_t fallback) const;
  [[nodiscard]] bool flag(std::string_view key) const;
  [[nodiscard]] bool flag_or(std::string_view key, bool fallback) const;
  [[nodiscard]] const Object& require(std::string_view key) const;

 private:
  const Object& object_;
};

/// Elements of a list; null or missing reads as empty.
[[nodiscard]] std::pair<const Object*, const Object*> elements(const Object* object,
                                                               std::string_view what);
[[nodiscard]] std::string as_text(const Object& object, std::string_view what);
[[nodiscard]] std::uint64_t as_integer(const Object& object, std::string_view what);
[[nodiscard]] double as_number(const Object& object, std::string_view what);

/// One whole message, checked in full before anything is read from it.
class Document {
 public:
  /// Throws DecodeError on trailing bytes, binary data, deep nesting, keys that
  /// are not text and numbers that are not finite.
  static Document parse(std::string_view bytes);
  [[nodiscard]] const Object& root() const { return handle_.get(); }
  [[nodiscard]] Fields fields() const { return Fields(handle_.get()); }

 private:
  msgpack::object_handle handle_;
};

/// Builds one message.
class Packer {
 public:
  Packer() : packer_(buffer_) {}
  Packer& map(std::size_t size);
  Packer& list(std::size_t size);
  Packer& key(std::string_view name) { return text(name); }
  Packer& text(std::string_view value);
  Packer& integer(std::uint64_t value);
  Packer& number(double value);
  Packer& flag(bool value);
  Packer& null();
  /// Splices in a value that is packed already.
  Packer& raw(std::string_view packed);
  Packer& object(const Object& value);
  [[nodiscard]] std::string take() const { return {buffer_.data(), buffer_.size()}; }

 private:
  msgpack::sbuffer buffer_;
  msgpack::packer<msgpack::sbuffer> packer_;
};

/// Size of a packed value when rendered as JSON, as the limits count it.
[[nodiscard]] std::size_t json_size(const Object& object);
[[nodiscard]] std::string pack_object(const Object& object);

}  // namespace elmstall::wire
