/// @file
/// Parser of HTTP responses, as the client reads them from a connection.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace elmstall::net {

/// Incrementally parses the responses of one connection, one at a time. Does no I/O. Not copyable,
/// since the underlying C parser refers to this object.
class HttpResponseParser {
 public:
  /// State of the current response after some of its bytes were parsed.
  enum class Result : std::uint8_t {
    incomplete,  ///< more bytes are needed
    complete,    ///< `status` and `take_body` return the response
    malformed,   ///< not an HTTP response, or larger than `constants::kMaxReplyBytes`
  };

  /// The parser is ready for the first response.
  HttpResponseParser() { reset(); }
  HttpResponseParser(const HttpResponseParser&) = delete;
  HttpResponseParser& operator=(const HttpResponseParser&) = delete;

  /// Makes the parser ready for the next response of the connection.
  void reset();

  /// Parses the next bytes of the current response. After any result but `incomplete`, `reset`
  /// must be called before more bytes are fed.
  [[nodiscard]] Result feed(std::string_view bytes);

  /// The HTTP status code. Valid after `Result::complete`.
  [[nodiscard]] int status() const { return static_cast<int>(parser_.status_code); }
  /// The body. To be called once after `Result::complete`.
  [[nodiscard]] std::string take_body() { return std::move(body_); }
  /// Whether the connection may carry another request: the server keeps it open, and sent no
  /// bytes after the response. Valid after `Result::complete`.
  [[nodiscard]] bool keep_alive() const { return keep_alive_; }

 private:
  static const http_parser_settings& callbacks();

  // Callbacks of the C parser. Any result but 0 stops it with an error.
  int on_body(const char* data, std::size_t size);
  int on_message_complete();

  http_parser parser_{};
  std::string body_;
  bool complete_ = false;
  bool keep_alive_ = true;
};

}  // namespace elmstall::net
