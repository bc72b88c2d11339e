#include "net/http_request_parser.hpp"

#include <climits>
#include <utility>

#include "config/constants.hpp"

namespace elmstall::net {
namespace {

/// The value of `http_parser::content_length` when the header is missing.
constexpr std::uint64_t kNoContentLength = ULLONG_MAX;

HttpRequestParser& owner_of(http_parser* parser) {
  return *static_cast<HttpRequestParser*>(parser->data);
}

}  // namespace

HttpRequestParser::HttpRequestParser(std::size_t max_body_bytes) : max_body_bytes_(max_body_bytes) {
  reset();
}

void HttpRequestParser::reset() {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  path_.clear();
  body_.clear();
  header_bytes_ = 0;
  complete_ = false;
  body_too_large_ = false;
  headers_too_large_ = false;
}

HttpRequestParser::Result HttpRequestParser::feed(std::string_view bytes) {
  const std::size_t parsed =
      http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
  if (complete_) {
    // Clients of this protocol do not pipeline requests. If one does, the connection is closed
    // after the response, so that the extra bytes can't be taken for a separate request.
    if (parsed < bytes.size()) keep_alive_ = false;
    return Result::complete;
  }
  if (body_too_large_) return Result::body_too_large;
  if (headers_too_large_) return Result::headers_too_large;
  if (parsed != bytes.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) return Result::malformed;
  return Result::incomplete;
}

Request HttpRequestParser::take_request() {
  return {http_method_str(static_cast<http_method>(parser_.method)), std::move(path_),
          std::move(body_)};
}

const http_parser_settings& HttpRequestParser::callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings result;
    http_parser_settings_init(&result);
    result.on_url = [](http_parser* parser, const char* data, std::size_t size) {
      return owner_of(parser).on_url(data, size);
    };
    result.on_header_field = [](http_parser* parser, const char*, std::size_t size) {
      return owner_of(parser).on_header_bytes(size);
    };
    result.on_header_value = result.on_header_field;
    result.on_headers_complete = [](http_parser* parser) {
      return owner_of(parser).on_headers_complete();
    };
    result.on_body = [](http_parser* parser, const char* data, std::size_t size) {
      return owner_of(parser).on_body(data, size);
    };
    result.on_message_complete = [](http_parser* parser) {
      return owner_of(parser).on_message_complete();
    };
    return result;
  }();
  return settings;
}

int HttpRequestParser::on_url(const char* data, std::size_t size) {
  path_.append(data, size);
  return on_header_bytes(size);
}

int HttpRequestParser::on_header_bytes(std::size_t size) {
  header_bytes_ += size;
  headers_too_large_ = header_bytes_ > constants::kMaxHeaderBytes;
  return headers_too_large_ ? 1 : 0;
}

int HttpRequestParser::on_headers_complete() {
  const std::uint64_t length = parser_.content_length;
  body_too_large_ = length != kNoContentLength && length > max_body_bytes_;
  return body_too_large_ ? -1 : 0;
}

int HttpRequestParser::on_body(const char* data, std::size_t size) {
  // A chunked body has no Content-Length header, so its size is checked as it arrives.
  body_too_large_ = body_.size() + size > max_body_bytes_;
  if (body_too_large_) return 1;
  body_.append(data, size);
  return 0;
}

int HttpRequestParser::on_message_complete() {
  complete_ = true;
  keep_alive_ = http_should_keep_alive(&parser_) != 0;
  // Without the pause the parser would also parse the bytes that follow the request.
  http_parser_pause(&parser_, 1);
  return 0;
}

}  // namespace elmstall::net
