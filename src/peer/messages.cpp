#include "peer/messages.hpp"

#include <sstream>

namespace elmstall::peer {

std::string encode(const Message& message) {
  std::ostringstream out(std::ios::binary);
  {
    // Only the end of its life guarantees that an archive has written everything.
    cereal::PortableBinaryOutputArchive archive(out);
    archive(message);
  }
  return std::move(out).str();
}

Message decode(std::string_view bytes) {
  std::istringstream in{std::string(bytes), std::ios::binary};
  cereal::PortableBinaryInputArchive archive(in);
  Message message;
  archive(message);
  return message;
}

}  // namespace elmstall::peer
