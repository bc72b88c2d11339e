// Framing of messages on a byte stream: a 4-byte little-endian length, then
// the message.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace elmstall::peer {

/// A peer announced a message larger than any that controllers send.
class FrameTooLarge : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// The message with its length in front.
[[nodiscard]] std::string frame(std::string_view message);

/// Cuts a byte stream into messages, however the bytes arrive.
class FrameReader {
 public:
  void append(std::string_view bytes);
  /// The next whole message, or nothing until more bytes have come. The view
  /// is valid until the next call of `append`. Throws FrameTooLarge.
  [[nodiscard]] std::optional<std::string_view> next();

 private:
  std::string buffer_;
  std::size_t consumed_ = 0;  ///< bytes at its front that were handed out
};

}  // namespace elmstall::peer
