#include "wire/codec.hpp"

#include <cmath>

#include "config/constants.hpp"

namespace elmstall::wire {
namespace {

/// The text of an object that is known to be text.
std::string_view text_view(const Object& object) {
  return {object.via.str.ptr, object.via.str.size};
}

/// Throws DecodeError if the value, or a value nested in it, is of a type that the protocols
/// forbid.
void validate(const Object& object) {
  switch (object.type) {
    case msgpack::type::BIN:
    case msgpack::type::EXT:
      throw DecodeError("binary data is not allowed");
    case msgpack::type::FLOAT32:
    case msgpack::type::FLOAT64:
      if (!std::isfinite(object.via.f64)) throw DecodeError("a number is not finite");
      break;
    case msgpack::type::ARRAY:
      for (const auto& item : object.via.array) validate(item);
      break;
    case msgpack::type::MAP:
      for (const auto& pair : object.via.map) {
        if (pair.key.type != msgpack::type::STR) throw DecodeError("a map key is not text");
        validate(pair.val);
      }
      break;
    default:
      break;
  }
}

std::string field_error(std::string_view key, std::string_view problem) {
  return "field '" + std::string(key) + "' " + std::string(problem);
}

}  // namespace

Fields::Fields(const Object& object) : object_(object) {
  if (object.type != msgpack::type::MAP) throw DecodeError("not a map");
}

const Object* Fields::field(std::string_view key) const {
  for (const auto& pair : object_.via.map) {
    if (text_view(pair.key) == key) return &pair.val;
  }
  return nullptr;
}

const Object* Fields::find(std::string_view key) const {
  const Object* value = field(key);
  return value == nullptr || value->is_nil() ? nullptr : value;
}

const Object& Fields::require_or_null(std::string_view key) const {
  const Object* value = field(key);
  if (value == nullptr) throw DecodeError(field_error(key, "is missing"));
  return *value;
}

const Object& Fields::require(std::string_view key) const {
  const Object* value = find(key);
  if (value == nullptr) throw DecodeError(field_error(key, "is missing"));
  return *value;
}

std::string Fields::text(std::string_view key) const { return as_text(require(key), key); }

std::optional<std::string> Fields::maybe_text(std::string_view key) const {
  const Object* value = find(key);
  if (value == nullptr) return std::nullopt;
  return as_text(*value, key);
}

double Fields::number(std::string_view key) const { return as_number(require(key), key); }

std::optional<double> Fields::maybe_number(std::string_view key) const {
  const Object* value = find(key);
  if (value == nullptr) return std::nullopt;
  return as_number(*value, key);
}

std::uint64_t Fields::integer(std::string_view key) const { return as_integer(require(key), key); }

std::uint64_t Fields::integer_or(std::string_view key, std::uint64_t fallback) const {
  const Object* value = find(key);
  return value == nullptr ? fallback : as_integer(*value, key);
}

bool Fields::flag(std::string_view key) const {
  const Object& value = require(key);
  if (value.type != msgpack::type::BOOLEAN) throw DecodeError(field_error(key, "is not a boolean"));
  return value.via.boolean;
}

bool Fields::flag_or(std::string_view key, bool fallback) const {
  return find(key) == nullptr ? fallback : flag(key);
}

Elements elements(const Object* object, std::string_view what) {
  if (object == nullptr) return {nullptr, nullptr};
  if (object->type != msgpack::type::ARRAY) throw DecodeError(field_error(what, "is not a list"));
  return {object->via.array.ptr, object->via.array.ptr + object->via.array.size};
}

std::vector<std::string> texts(const Object* object, std::string_view what) {
  std::vector<std::string> values;
  for (const auto& item : elements(object, what)) values.push_back(as_text(item, what));
  return values;
}

std::string as_text(const Object& object, std::string_view what) {
  if (object.type != msgpack::type::STR) throw DecodeError(field_error(what, "is not text"));
  return std::string(text_view(object));
}

std::uint64_t as_integer(const Object& object, std::string_view what) {
  if (object.type != msgpack::type::POSITIVE_INTEGER)
    throw DecodeError(field_error(what, "is not a count"));
  return object.via.u64;
}

double as_number(const Object& object, std::string_view what) {
  switch (object.type) {
    case msgpack::type::POSITIVE_INTEGER:
      return static_cast<double>(object.via.u64);
    case msgpack::type::NEGATIVE_INTEGER:
      return static_cast<double>(object.via.i64);
    case msgpack::type::FLOAT32:
    case msgpack::type::FLOAT64:
      return object.via.f64;
    default:
      throw DecodeError(field_error(what, "is not a number"));
  }
}

Document Document::parse(std::string_view bytes) {
  Document document;
  try {
    std::size_t offset = 0;
    const auto size = bytes.size();
    // No container can have more members than the message has bytes. The limits prevent a forged
    // length from making the decoder allocate memory for members that do not exist.
    const msgpack::unpack_limit limit(size, size, size, size, size, constants::kMaxDepth);
    msgpack::unpack(document.handle_, bytes.data(), size, offset, nullptr, nullptr, limit);
    if (offset != size) throw DecodeError("trailing bytes");
  } catch (const DecodeError&) {
    throw;
  } catch (const std::exception&) {
    throw DecodeError("not MessagePack");
  }
  validate(document.root());
  return document;
}

Packer& Packer::map(std::size_t size) {
  packer_.pack_map(static_cast<std::uint32_t>(size));
  return *this;
}
Packer& Packer::list(std::size_t size) {
  packer_.pack_array(static_cast<std::uint32_t>(size));
  return *this;
}
Packer& Packer::text(std::string_view value) {
  packer_.pack_str(static_cast<std::uint32_t>(value.size()));
  packer_.pack_str_body(value.data(), static_cast<std::uint32_t>(value.size()));
  return *this;
}
Packer& Packer::integer(std::uint64_t value) {
  packer_.pack(value);
  return *this;
}
Packer& Packer::number(double value) {
  packer_.pack_double(value);
  return *this;
}
Packer& Packer::flag(bool value) {
  if (value) {
    packer_.pack_true();
  } else {
    packer_.pack_false();
  }
  return *this;
}
Packer& Packer::null() {
  packer_.pack_nil();
  return *this;
}
Packer& Packer::texts(const std::vector<std::string>& values) {
  list(values.size());
  for (const auto& value : values) text(value);
  return *this;
}
Packer& Packer::text_or_null(const std::optional<std::string>& value) {
  return value ? text(*value) : null();
}
Packer& Packer::number_or_null(const std::optional<double>& value) {
  return value ? number(*value) : null();
}
Packer& Packer::raw(std::string_view packed) {
  buffer_.write(packed.data(), packed.size());
  return *this;
}
Packer& Packer::object(const Object& value) {
  packer_.pack(value);
  return *this;
}

namespace {

/// Upper bound of the size of the text as a JSON string, without the quotes. The state store may
/// count a character beyond ASCII as an escape of six bytes, where UTF-8 has two or three bytes.
std::size_t escaped_size(std::string_view text) {
  constexpr unsigned char first_printable = 0x20;
  constexpr unsigned char first_beyond_ascii = 0x80;
  std::size_t total = 0;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < first_printable) {
      total += 6;
    } else if (c == '"' || c == '\\') {
      total += 2;
    } else {
      total += byte < first_beyond_ascii ? 1 : 3;
    }
  }
  return total;
}

}  // namespace

std::size_t json_size(const Object& object) {
  constexpr std::size_t longest_number = 24;  // 17 digits, sign, point and exponent
  constexpr std::size_t longest_literal = 5;  // null, true, false
  switch (object.type) {
    case msgpack::type::STR:
      return escaped_size({object.via.str.ptr, object.via.str.size}) + 2;
    case msgpack::type::ARRAY: {
      std::size_t total = 2;
      for (const auto& item : object.via.array) total += json_size(item) + 1;
      return total;
    }
    case msgpack::type::MAP: {
      std::size_t total = 2;
      for (const auto& pair : object.via.map)
        total += json_size(pair.key) + json_size(pair.val) + 2;
      return total;
    }
    case msgpack::type::FLOAT32:
    case msgpack::type::FLOAT64:
      return longest_number;
    case msgpack::type::POSITIVE_INTEGER:
      return std::to_string(object.via.u64).size();
    case msgpack::type::NEGATIVE_INTEGER:
      return std::to_string(object.via.i64).size();
    default:
      return longest_literal;
  }
}

std::string pack_object(const Object& object) {
  msgpack::sbuffer buffer;
  msgpack::pack(buffer, object);
  return {buffer.data(), buffer.size()};
}

}  // namespace elmstall::wire
