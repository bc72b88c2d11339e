// Network addresses as settings files write them.
#pragma once

#include <asio.hpp>
#include <string_view>

namespace elmstall::config {

/// Parses `ADDRESS:PORT` with a numeric IP address. Throws std::invalid_argument,
/// whose text names what is wrong.
[[nodiscard]] asio::ip::tcp::endpoint parse_endpoint(std::string_view text);

}  // namespace elmstall::config
