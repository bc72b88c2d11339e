/// @file
/// Framing of messages on a byte stream: each frame is a length of 4 bytes, little-endian, and
/// then the message of that many bytes.
#pragma once

#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace elmstall::peer {

/// A frame's length exceeds `constants::kMaxPeerMessageBytes`, which no message between controllers
/// does. The rest of the stream can't be read.
class FrameTooLarge : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Returns the frame for a message.
[[nodiscard]] std::string frame(std::string_view message);

/// Splits a byte stream into messages, however the bytes are fragmented on arrival.
class FrameReader {
 public:
  /// Adds bytes to the end of the stream. Views that `next` returned become invalid.
  void append(std::string_view bytes);

  /// Returns the next whole message, or nothing until more bytes have been appended. The view is
  /// valid until the next call of `append`. Throws FrameTooLarge.
  [[nodiscard]] std::optional<std::string_view> next();

 private:
  std::string buffer_;
  std::size_t consumed_ = 0;  ///< bytes at the front of the buffer that `next` has returned
};

}  // namespace elmstall::peer
