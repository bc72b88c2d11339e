/// @file
/// Keeps the mirror current: lists the live records once and then watches for changes. Lists the
/// records again when the state store no longer keeps the changes in between. Runs on the event
/// loop.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "runtime/command_queue.hpp"
#include "store/mirror.hpp"
#include "store/state_store.hpp"

namespace elmstall::store {

/// Updates a mirror from the state store, from the call of `start` until this object is destroyed.
/// Failed requests are retried, so errors are not reported.
class MirrorFollower {
 public:
  /// The objects and callbacks that the follower uses. The objects must outlive it.
  struct Context {
    runtime::EventLoop& event_loop;  ///< for the pauses between requests
    runtime::CommandQueue& queue;    ///< where the replies are handled
    StateStore& store;               ///< source of the records
    Mirror& mirror;                  ///< the replica that is kept current
    /// Called after these records have changed in the mirror.
    std::function<void(const std::vector<Key>&)> on_changed;
    /// Seconds to wait between the reply to a watch and the next watch.
    std::function<double()> watch_pause;
  };

  /// Sends no request before `start`.
  explicit MirrorFollower(Context context);

  /// Starts to list and watch; must be called once.
  void start() { list_from_start(); }

 private:
  void list_from_start();
  /// Lists the page after this key.
  void list_after(const std::string& key);
  void on_listed(const ListResult& result, const std::string& after);
  void watch();
  void on_watched(const WatchResult& result);
  void retry_later(std::function<void()> request);

  Context context_;
  runtime::CommandScope scope_;
};

}  // namespace elmstall::store
