/// @file
/// Delivers commands to workers, in the replies to their heartbeats or by RPCs
/// directly to their addresses.
///
/// Only one of the two channels is used at a time (docs/design.md, rule 2): while an
/// RPC is in flight, a reply only renews the lease and stops cancelled tasks, and after
/// a reply that starts or stops tasks no command is sent until the next heartbeat. Runs on the
/// controller's event loop.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "clients/worker_rpc.hpp"
#include "dispatch/command_composer.hpp"
#include "election/leader_lease.hpp"
#include "net/http_server.hpp"
#include "reconcile/fencing.hpp"
#include "reconcile/heartbeat_reader.hpp"
#include "runtime/command_queue.hpp"
#include "state/model.hpp"

namespace elmstall::dispatch {

/// Sends commands to all machines, over one channel at a time for each machine.
class CommandDispatcher {
 public:
  /// Dependencies of the dispatcher. The references have to outlive it.
  struct Context {
    const runtime::EventLoop& event_loop;          ///< clock
    runtime::CommandQueue& queue;                  ///< runs the callbacks, one after the other
    clients::WorkerRpc& worker_rpc;                ///< sends command RPCs to workers
    const election::LeaderLease& lease;            ///< whether replies and starts are allowed
    state::Model& model;                           ///< the leader's model of jobs and machines
    reconcile::Fencing& fencing;                   ///< fencing tokens of this term
    reconcile::HeartbeatReader& heartbeat_reader;  ///< applies the status that an RPC returns
    CommandComposer& composer;                     ///< composes the commands that are due
  };

  /// Keeps the context; sends nothing yet.
  explicit CommandDispatcher(Context context);

  /// Replies to a heartbeat that was just read, which renews the worker's lease.
  void reply(state::Machine& machine, const net::Responder& respond);
  /// Replies to a heartbeat that was received after the newer reply to a command RPC. The reply
  /// renews the lease, and its only commands are those that stop cancelled tasks.
  void reply_to_outdated(state::Machine& machine, const net::Responder& respond);

  /// Notes that the model may have changed, so that commands may be due.
  void mark_due() { due_ = true; }
  /// Sends due commands by RPC to machines that should not wait for their next heartbeat.
  void deliver();
  /// After a takeover: sends empty RPCs with the new token, some each time, so that
  /// machines become synchronized before their next heartbeat (rule 3).
  void synchronize_machines();

 private:
  /// Logs the commands at debug level, with the age of the records that they are based on.
  /// `channel`: how they are sent.
  void log_commands(const state::Machine& machine, const std::vector<wire::WorkerCommand>& commands,
                    std::string_view channel) const;
  /// Logs the outcome of a command RPC at debug level.
  static void log_result(const std::string& machine_id, const clients::CommandResult& result);
  /// Raises the token of the reply to a heartbeat, if clears or runs that are due need that.
  void prepare_reply_token(state::Machine& machine);
  /// The same for a command RPC, only for what can't wait for the next heartbeat: the worker drops
  /// a reply that arrives after an RPC with a higher token.
  void prepare_rpc_token(state::Machine& machine);
  /// Whether the commands clear an attempt that is to run on the machine once more, so that they
  /// are sent by RPC although they start and stop nothing.
  [[nodiscard]] bool clears_reused_attempt(const state::Machine& machine,
                                           const std::vector<wire::WorkerCommand>& commands) const;
  [[nodiscard]] bool rpc_possible(const state::Machine& machine) const;
  [[nodiscard]] static bool needs_synchronization(const state::Machine& machine, double now);
  void start_rpc(state::Machine& machine, const std::vector<wire::WorkerCommand>& commands);
  void on_rpc_result(const std::string& machine_id, bool carried_commands,
                     const clients::CommandResult& result);

  Context context_;
  runtime::CommandScope scope_;
  std::size_t rpcs_in_flight_ = 0;
  bool due_ = true;
};

}  // namespace elmstall::dispatch
