#include "wire/names.hpp"

#include "config/constants.hpp"

namespace elmstall::wire {

double amount(const Fields& fields, std::string_view key) {
  const double value = fields.number(key);
  if (value < 0) throw DecodeError("field '" + std::string(key) + "' is negative");
  return value;
}

double amount_or_zero(const Fields& fields, std::string_view key) {
  return fields.find(key) == nullptr ? 0 : amount(fields, key);
}

void check_name(const std::string& text, std::string_view field) {
  if (text.empty() || text.size() > constants::kMaxNameBytes)
    throw DecodeError("field '" + std::string(field) + "' is empty or too long");
}

std::string decode_name(const Fields& fields, std::string_view key) {
  auto name = fields.text(key);
  check_name(name, key);
  return name;
}

}  // namespace elmstall::wire
