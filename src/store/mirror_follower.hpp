// Keeps the mirror current: lists the live records once, then watches for changes,
// and lists again when the state store no longer has the changes in between.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "runtime/command_queue.hpp"
#include "store/mirror.hpp"
#include "store/state_store.hpp"

namespace elmstall::store {

class MirrorFollower {
 public:
  struct Context {
    runtime::EventLoop& event_loop;
    runtime::CommandQueue& queue;
    StateStore& store;
    Mirror& mirror;
    /// Called after these records have changed in the mirror.
    std::function<void(const std::vector<Key>&)> changed;
    /// Seconds to wait between the reply to a watch and the next watch.
    std::function<double()> watch_pause;
  };

  explicit MirrorFollower(Context context);

  /// Begins to follow; to be called once.
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
