#include "peer/frames.hpp"

#include <cstdint>

#include "config/constants.hpp"

namespace elmstall::peer {
namespace {

constexpr std::size_t kHeaderBytes = 4;
constexpr unsigned kBitsPerByte = 8;

std::uint32_t decode_length(std::string_view header) {
  std::uint32_t length = 0;
  for (unsigned i = 0; i < kHeaderBytes; ++i) {
    const auto byte = static_cast<unsigned char>(header[i]);
    length |= static_cast<std::uint32_t>(byte) << (kBitsPerByte * i);
  }
  return length;
}

}  // namespace

std::string frame(std::string_view message) {
  const auto length = static_cast<std::uint32_t>(message.size());
  std::string text;
  text.reserve(kHeaderBytes + message.size());
  for (unsigned i = 0; i < kHeaderBytes; ++i) {
    text.push_back(static_cast<char>((length >> (kBitsPerByte * i)) & 0xff));
  }
  return text.append(message);
}

void FrameReader::append(std::string_view bytes) {
  buffer_.erase(0, consumed_);
  consumed_ = 0;
  // The memory for one large message must not be kept for the life of the connection.
  if (buffer_.empty() && buffer_.capacity() > constants::kPeerWriteBytes) buffer_.shrink_to_fit();
  buffer_.append(bytes);
}

std::optional<std::string_view> FrameReader::next() {
  const auto left = std::string_view(buffer_).substr(consumed_);
  if (left.size() < kHeaderBytes) return std::nullopt;
  const std::size_t length = decode_length(left);
  if (length > constants::kMaxPeerMessageBytes) throw FrameTooLarge("it is too large");
  if (left.size() < kHeaderBytes + length) return std::nullopt;
  consumed_ += kHeaderBytes + length;
  return left.substr(kHeaderBytes, length);
}

}  // namespace elmstall::peer
