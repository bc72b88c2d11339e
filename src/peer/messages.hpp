// What controllers tell each other. Encoded with cereal.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace elmstall::peer {

/// Sent about once a second, and when something in it changes.
struct Heartbeat {
  std::string node;
  std::uint64_t term = 0;  ///< highest term known
  std::string leader;      ///< who holds it, if known
  bool state_reachable = false;
  bool leader_heard = false;
  /// How far its copy of the records is, 0 while it is not whole. What the
  /// records forbid at that point it never does later.
  std::uint64_t revision = 0;
  /// Seconds since it last answered a heartbeat on its own, at most since its
  /// process began.
  double replied_ago_s = 0;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, term, leader, state_reachable, leader_heard, revision, replied_ago_s);
  }
};

/// A worker's heartbeat that reached a node the worker can't leave for the
/// leader; the leader's answer goes back the same way.
struct ForwardedHeartbeat {
  std::string node;
  std::uint64_t id = 0;
  std::string body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, id, body);
  }
};
struct ForwardedReply {
  std::uint64_t id = 0;
  int status = 0;
  std::string body;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, status, body);
  }
};

/// The sender has recorded that this job is cancelled. The records tell too;
/// this is sooner, and reaches those that the state service refuses.
struct Cancelled {
  std::string job;
  template <class Archive>
  void serialize(Archive& archive) {
    archive(job);
  }
};

using Message = std::variant<Heartbeat, ForwardedHeartbeat, ForwardedReply, Cancelled>;

[[nodiscard]] std::string encode(const Message& message);
/// Throws std::exception on bad input.
[[nodiscard]] Message decode(std::string_view bytes);

}  // namespace elmstall::peer
