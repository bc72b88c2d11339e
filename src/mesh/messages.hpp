// What controllers tell each other. Encoded with cereal.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace elmstall::mesh {

/// Sent about once a second, and when something in it changes.
struct Beat {
  std::string node;
  std::uint64_t term = 0;      ///< highest term known
  std::string leader;          ///< who holds it, if known
  bool state_reachable = false;
  template <class Archive>
  void serialize(Archive& archive) { archive(node, term, leader, state_reachable); }
};

/// A worker's report that reached a node the worker can't leave for the
/// leader; the leader's answer goes back the same way.
struct ForwardedReport {
  std::string node;
  std::uint64_t id = 0;
  std::string body;
  template <class Archive>
  void serialize(Archive& archive) { archive(node, id, body); }
};
struct ForwardedReply {
  std::uint64_t id = 0;
  int status = 0;
  std::string body;
  template <class Archive>
  void serialize(Archive& archive) { archive(id, status, body); }
};

using Message = std::variant<Beat, ForwardedReport, ForwardedReply>;

[[nodiscard]] std::string encode(const Message& message);
/// Throws std::exception on bad input.
[[nodiscard]] Message decode(std::string_view bytes);

}  // namespace elmstall::mesh
