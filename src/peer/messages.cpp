#include "peer/messages.hpp"

#include <sstream>

namespace elmstall::peer {

std::string encode(const Message& message) {
  std::ostringstream out(std::ios::binary);
  {
    // An archive is guaranteed to have written everything only once it has been destroyed.
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
