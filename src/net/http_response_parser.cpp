#include "net/http_response_parser.hpp"

#include "config/constants.hpp"

namespace elmstall::net {
namespace {

HttpResponseParser& owner_of(http_parser* parser) {
  return *static_cast<HttpResponseParser*>(parser->data);
}

}  // namespace

void HttpResponseParser::reset() {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  body_.clear();
  complete_ = false;
}

HttpResponseParser::Result HttpResponseParser::feed(std::string_view bytes) {
  const std::size_t parsed =
      http_parser_execute(&parser_, &callbacks(), bytes.data(), bytes.size());
  if (complete_) {
    if (parsed < bytes.size()) keep_alive_ = false;
    return Result::complete;
  }
  if (parsed != bytes.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) return Result::malformed;
  return Result::incomplete;
}

const http_parser_settings& HttpResponseParser::callbacks() {
  static const http_parser_settings settings = [] {
    http_parser_settings result;
    http_parser_settings_init(&result);
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

int HttpResponseParser::on_body(const char* data, std::size_t size) {
  if (body_.size() + size > constants::kMaxReplyBytes) return 1;
  body_.append(data, size);
  return 0;
}

int HttpResponseParser::on_message_complete() {
  complete_ = true;
  keep_alive_ = http_should_keep_alive(&parser_) != 0;
  // Without the pause the parser would also parse the bytes that follow the response.
  http_parser_pause(&parser_, 1);
  return 0;
}

}  // namespace elmstall::net
