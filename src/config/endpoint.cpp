#include "config/endpoint.hpp"

#include <charconv>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace elmstall::config {

asio::ip::tcp::endpoint parse_endpoint(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos)
    throw std::invalid_argument("no port in '" + std::string(text) + "'");
  std::uint16_t port = 0;
  const auto digits = text.substr(colon + 1);
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size()) {
    throw std::invalid_argument("bad port in '" + std::string(text) + "'");
  }
  asio::error_code code;
  const auto address = asio::ip::make_address(std::string(text.substr(0, colon)), code);
  if (code) throw std::invalid_argument("bad address in '" + std::string(text) + "'");
  return {address, port};
}

}  // namespace elmstall::config
