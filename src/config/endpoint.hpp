/// @file
/// Network addresses as the settings file writes them.
#pragma once

#include <asio.hpp>
#include <string_view>

namespace elmstall::config {

/// Parses `ADDRESS:PORT`, where ADDRESS is a numeric IP address. Throws std::invalid_argument if
/// the text is not of that form; its message quotes the text and names the problem.
[[nodiscard]] asio::ip::tcp::endpoint parse_endpoint(std::string_view text);

}  // namespace elmstall::config
