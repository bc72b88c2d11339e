/// @file
/// Parser of HTTP requests, as the server reads them from a connection.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "net/http_server.hpp"

namespace elmstall::net {

/// Incrementally parses the requests of one connection, one at a time. Does no I/O. Not copyable,
/// since the underlying C parser refers to this object.
class HttpRequestParser {
 public:
  /// State of the current request after some of its bytes were parsed.
  enum class Result : std::uint8_t {
    incomplete,         ///< more bytes are needed
    complete,           ///< `take_request` returns the request
    body_too_large,     ///< larger than the limit given to the constructor
    headers_too_large,  ///< larger than `constants::kMaxHeaderBytes`, request target included
    malformed,          ///< not an HTTP request
  };

  /// `max_body_bytes` is the size of the largest accepted body.
  explicit HttpRequestParser(std::size_t max_body_bytes);
  HttpRequestParser(const HttpRequestParser&) = delete;
  HttpRequestParser& operator=(const HttpRequestParser&) = delete;

  /// Makes the parser ready for the next request of the connection.
  void reset();

  /// Parses the next bytes of the current request. After any result but `incomplete`, `reset`
  /// must be called before more bytes are fed.
  [[nodiscard]] Result feed(std::string_view bytes);

  /// The parsed request. To be called once after `Result::complete`.
  [[nodiscard]] Request take_request();

  /// Whether the connection may carry another request after this one: the client did not ask to
  /// close it, and sent no bytes after the request. Valid after `Result::complete`.
  [[nodiscard]] bool keep_alive() const { return keep_alive_; }

 private:
  static const http_parser_settings& callbacks();

  // Callbacks of the C parser. Any result but 0 stops it with an error.
  int on_url(const char* data, std::size_t size);
  int on_header_bytes(std::size_t size);
  int on_headers_complete();
  int on_body(const char* data, std::size_t size);
  int on_message_complete();

  std::size_t max_body_bytes_;
  http_parser parser_{};
  std::string path_;
  std::string body_;
  std::size_t header_bytes_ = 0;
  bool complete_ = false;
  bool body_too_large_ = false;
  bool headers_too_large_ = false;
  bool keep_alive_ = true;
};

}  // namespace elmstall::net
