#include "support/fake_cloud.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

#include "support/world.hpp"

namespace elmstall::test {

using Outcome = clients::ProvisionResult::Outcome;

namespace {

constexpr double kResponseDelay = 0.1;

}  // namespace

void FakeCloud::machine_types(
    std::function<void(std::optional<std::vector<wire::MachineType>>)> done) {
  world_.loop.after(kResponseDelay, [this, done = std::move(done)] {
    done(down ? std::nullopt : std::optional(world_.machine_types));
  });
}

wire::CloudPage FakeCloud::current_page() const {
  wire::CloudPage page;
  for (const auto& [id, worker] : world_.workers) {
    if (worker->dead()) continue;
    page.machines.push_back({id, "", worker->type(), worker->zone(), worker->spot(),
                             wire::CloudMachine::State::running, 0});
  }
  return page;
}

wire::CloudPage FakeCloud::page_at(double time) const {
  const auto later = history_.upper_bound(time);
  return later == history_.begin() ? wire::CloudPage{} : std::prev(later)->second;
}

void FakeCloud::list(const std::string& /*since*/,
                     std::function<void(std::optional<wire::CloudPage>)> done) {
  history_[world_.loop.now()] = current_page();
  const double lag = world_.settings.list_lag_s * (1 + world_.random());
  world_.loop.after(kResponseDelay,
                    [this, page = page_at(world_.loop.now() - lag), done = std::move(done)] {
                      if (down) return done(std::nullopt);
                      done(empty_pages ? wire::CloudPage{{}, true} : page);
                    });
}

void FakeCloud::provision(const std::string& name, const std::string& type, const std::string& zone,
                          bool spot, int count,
                          std::function<void(clients::ProvisionResult)> done) {
  world_.loop.after(kResponseDelay, [=, this] {
    if (down) return done({Outcome::unavailable, {}});
    if (const auto known = served_.find(name); known != served_.end())
      return done({Outcome::ok, known->second});
    clients::ProvisionResult result{Outcome::ok, {}};
    for (int i = 0; i < count && capacity > 0; ++i, --capacity)
      result.machines.push_back(rent_one(type, zone, spot));
    if (result.machines.empty()) return done({Outcome::no_capacity, {}});
    served_[name] = result.machines;
    if (lost_responses > 0 || world_.random() < 0.1) {
      lost_responses = std::max(0, lost_responses - 1);
      return done({Outcome::unknown, {}});
    }
    done(result);
  });
}

std::string FakeCloud::rent_one(const std::string& type, const std::string& zone, bool spot) {
  std::array<char, 32> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "host-%06zu", world_.workers.size());
  std::string id = buffer.data();
  auto& worker = world_.workers[id] = std::make_unique<FakeWorker>(world_, id, type, zone, spot);
  // One machine in ten boots ten times faster.
  const double boot_factor = world_.random() < 0.1 ? 0.1 : 0.67 + 0.67 * world_.random();
  world_.loop.after(world_.machine_types.front().ready_s * boot_factor, [raw = worker.get()] {
    if (!raw->dead()) raw->start();
  });
  return id;
}

void FakeCloud::terminate(const std::vector<std::string>& machines,
                          std::function<void(bool)> done) {
  world_.loop.after(kResponseDelay, [=, this] {
    if (down) return done(false);
    for (const auto& id : machines) {
      const auto found = world_.workers.find(id);
      if (found == world_.workers.end() || found->second->dead()) continue;
      found->second->die();
      ++capacity;
    }
    done(true);
  });
}

}  // namespace elmstall::test
