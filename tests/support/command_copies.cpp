#include "support/command_copies.hpp"

#include "support/world.hpp"

namespace elmstall::test {

namespace {

/// Most RPCs of one machine that are kept for `on_cleared`.
constexpr std::size_t kMaxKept = 20;
/// Leases. The latest copy arrives so long after the answer.
constexpr double kLatestCopy = 3;

}  // namespace

void CommandCopies::end() {
  share_ = 0;
  answered_.clear();
}

void CommandCopies::plan(double earliest_s, double latest_s) {
  const double begin_s = earliest_s + (latest_s - earliest_s) * draw();
  const double end_s = begin_s + (latest_s - begin_s) * draw();
  const double share = 0.2 + 0.8 * draw();
  world_.loop.at(begin_s, [this, share] { begin(share); });
  world_.loop.at(end_s, [this] { end(); });
}

double CommandCopies::draw_delay() {
  const double kind = draw();
  if (kind < 0.2) return 0;
  if (kind < 0.6) return 6 * draw();
  return kLatestCopy * world_.settings.lease_s * draw();
}

void CommandCopies::on_answered(FakeWorker& worker, const AnsweredCommands& commands) {
  if (on_executed) on_executed(worker, commands);
  if (share_ <= 0 || commands.envelope.commands.empty() || draw() >= share_) return;
  world_.loop.after(draw_delay(), [this, &worker, commands] { deliver(worker, commands); });
  auto& kept = answered_[worker.id()];
  if (kept.size() == kMaxKept) kept.erase(kept.begin());
  kept.push_back(commands);
}

void CommandCopies::on_cleared(FakeWorker& worker) {
  const auto found = answered_.find(worker.id());
  if (found == answered_.end()) return;
  for (const auto& commands : found->second)
    world_.loop.after(0, [this, &worker, commands] { deliver(worker, commands); });
}

void CommandCopies::deliver(FakeWorker& worker, const AnsweredCommands& commands) {
  if (worker.dead() || worker.cut) return;
  if (worker.hung()) {
    world_.loop.at(worker.hung_until(), [this, &worker, commands] { deliver(worker, commands); });
    return;
  }
  ++delivered_;
  worker.on_command_copy(commands);
}

}  // namespace elmstall::test
