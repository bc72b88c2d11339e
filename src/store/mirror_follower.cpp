#include "store/mirror_follower.hpp"

#include <utility>

#include "config/constants.hpp"

namespace elmstall::store {

namespace k = constants;

MirrorFollower::MirrorFollower(Context context)
    : context_(std::move(context)), scope_(context_.queue) {}

void MirrorFollower::retry_later(std::function<void()> request) {
  context_.event_loop.after(k::kStateRetry, scope_.wrap(std::move(request)));
}

void MirrorFollower::list_from_start() {
  context_.mirror.restart();
  list_after("");
}

void MirrorFollower::list_after(const std::string& key) {
  context_.store.list(
      std::string(kLivePrefix), key,
      scope_.wrap([this, key](const ListResult& result) { on_listed(result, key); }));
}

void MirrorFollower::on_listed(const ListResult& result, const std::string& after) {
  const auto& listing = result.listing;
  // A page that announces more but has no entry can't be continued, and is not the last one either.
  const bool incomplete = listing.truncated && listing.entries.empty();
  if (result.outcome != Outcome::ok || incomplete) {
    return retry_later([this, after] {
      if (after.empty()) return list_from_start();
      list_after(after);
    });
  }
  auto& mirror = context_.mirror;
  mirror.load(listing);
  if (listing.truncated) return list_after(listing.entries.back().key);
  std::vector<Key> jobs;
  for (const auto& [id, job] : mirror.jobs()) jobs.push_back({Key::Kind::job, id, 0});
  context_.on_changed(jobs);
  watch();
}

void MirrorFollower::watch() {
  // Until the mirror is complete, the state store must reply at once. It would otherwise wait for
  // a change, and there may be none for a long time.
  const double hold = context_.mirror.loaded() ? k::kWatchHold : 0;
  context_.store.watch(std::string(kRootPrefix), context_.mirror.watch_start_revision(), hold,
                       scope_.wrap([this](const WatchResult& result) { on_watched(result); }));
}

void MirrorFollower::on_watched(const WatchResult& result) {
  switch (result.outcome) {
    case Outcome::ok:
      context_.on_changed(context_.mirror.apply(result.changes));
      context_.event_loop.after(context_.watch_pause(), scope_.wrap([this] { watch(); }));
      return;
    case Outcome::compacted:
      return list_from_start();
    case Outcome::unknown:
      return watch();
    default:
      retry_later([this] { watch(); });
  }
}

}  // namespace elmstall::store
