/// @file
/// The messages between controllers, encoded with cereal's portable binary archive.
///
/// Controllers of different versions may run side by side, so the fields of a message, their order
/// and the order of the alternatives in `Message` must not change.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace elmstall::peer {

/// The state of a controller, sent to all others every `constants::kPeerHeartbeatInterval` and
/// whenever something in it changes.
struct Heartbeat {
  std::string node;               ///< name of the sender
  std::uint64_t term = 0;         ///< highest term known to the sender
  std::string leader;             ///< name of that term's leader; empty if unknown
  bool state_reachable = false;   ///< the state store answers the sender
  bool leader_reachable = false;  ///< the sender receives the leader's heartbeats
  /// Revision up to which the sender's mirror of the records is complete; 0 while it has not been
  /// read in full. Once it is not 0, the sender takes no action that the records up to this
  /// revision rule out.
  std::uint64_t revision = 0;
  /// Seconds since the sender last answered a worker's heartbeat as a zone delegate, that is
  /// without the leader; if it never did, seconds since its process started.
  double last_reply_age_s = 0;
  /// Reads or writes the fields by a cereal archive, in the order that all versions share.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, term, leader, state_reachable, leader_reachable, revision, last_reply_age_s);
  }
};

/// A worker's heartbeat, forwarded to the leader by a follower because the worker can't reach the
/// leader itself. The leader answers with a `ForwardedReply`.
struct ForwardedHeartbeat {
  std::string node;      ///< name of the follower that forwards, and to which the reply goes
  std::uint64_t id = 0;  ///< number assigned by the follower, which the reply repeats
  std::string body;      ///< body of the worker's HTTP request
  /// Reads or writes the fields by a cereal archive, in the order that all versions share.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(node, id, body);
  }
};

/// The leader's response to a `ForwardedHeartbeat`, which the follower passes on to the worker.
struct ForwardedReply {
  std::uint64_t id = 0;  ///< that of the forwarded heartbeat
  int status = 0;        ///< HTTP status code
  std::string body;      ///< body of the HTTP response
  /// Reads or writes the fields by a cereal archive, in the order that all versions share.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(id, status, body);
  }
};

/// Announces that the sender has recorded the cancellation of a job. The records show it too; this
/// message arrives sooner, and also reaches controllers that have no access to the state store.
struct Cancelled {
  std::string job;  ///< id of the job
  /// Reads or writes the fields by a cereal archive, in the order that all versions share.
  template <class Archive>
  void serialize(Archive& archive) {
    archive(job);
  }
};

/// Any message between controllers.
using Message = std::variant<Heartbeat, ForwardedHeartbeat, ForwardedReply, Cancelled>;

/// Returns the bytes of a message, without a frame.
[[nodiscard]] std::string encode(const Message& message);

/// Reads the bytes of one message. Throws cereal::Exception, or another std::exception, when the
/// bytes are not a message.
[[nodiscard]] Message decode(std::string_view bytes);

}  // namespace elmstall::peer
