// A leader is refused by the state service alone while its zone and the other one can't reach each
// other. Another controller leads. The former leader must not take away the machines that the
// other one uses.
#include <set>

#include "cases.hpp"
#include "fleet.hpp"

namespace review {
namespace {

constexpr std::size_t kFormer = 1;              // the only controller of kollam-south
constexpr double kSetUpWithin = 50;             // s
constexpr std::uint64_t kOtherLeader = 100000;  // tokens of two leaders are farther apart
constexpr double kTroubleLasts = 40;            // s, as long as the site's cuts of a controller

class Case {
 public:
  Case(asio::io_context& io, const Options& options)
      : options_(options), fleet_(io, options, site(), 3) {}

  int play() {
    auto& cloud = fleet_.cloud;
    cloud.capacity = {{{"kochi-east", false}, 1}, {{"kollam-south", false}, 4}};
    cloud.releasing = [this](std::size_t node, const std::string& host) { released(node, host); };
    fleet_.booted = [this](Worker& worker) {
      worker.reaches = [this,
                        yard = fleet_.cloud.hosts.at(worker.name()).yard](const std::string& node) {
        return !partition_ || node_zone(node) == yard;
      };
      // Orders come from the machine's own zone only if they carry a token of its leader. Another
      // leader's token is far above that.
      worker.admits = [this, host = worker.name(),
                       yard = fleet_.cloud.hosts.at(worker.name()).yard](std::uint64_t baton) {
        const bool former_zone = yard == fleet_.controllers.zone(kFormer);
        const bool of_former = baton < former_baton_ + kOtherLeader;
        return !partition_ || former_zone == of_former;
      };
    };
    fleet_.events.began = [this](const std::string& shard, std::uint64_t attempt,
                                 const std::string& where) {
      fleet_.run.note(where + ": " + shard + " try " + std::to_string(attempt) + " is on it");
      on_[where].insert(shard);
    };
    fleet_.events.left = [this](const std::string& shard, std::uint64_t attempt,
                                const std::string& where) {
      fleet_.run.note(where + ": " + shard + " try " + std::to_string(attempt) + " is gone");
      on_[where].erase(shard);
    };
    // The first controller that is ready leads.
    fleet_.controllers.start(kFormer);
    fleet_.run.after(3, [this] {
      fleet_.controllers.start(0);
      fleet_.controllers.start(2);
    });
    fleet_.run.after(6, [this] { submit(); });
    watch();
    fleet_.run.io.run();
    return verdict_;
  }

  void end() {
    for (std::size_t i = 0; i < Controllers::kCount; ++i) fleet_.controllers.signal(i, 9);
  }

 private:
  static Site site() {
    Site site;
    site.teams = Fleet::teams();
    return site;
  }

  std::string node_zone(const std::string& node) const {
    for (std::size_t i = 0; i < Controllers::kCount; ++i) {
      if (fleet_.controllers.name(i) == node) return fleet_.controllers.zone(i);
    }
    return {};
  }

  void finish(int verdict, const std::string& why) {
    verdict_ = verdict;
    fleet_.run.note((verdict == 0   ? "held: "
                     : verdict == 1 ? "BROKEN: "
                                    : "could not run: ") +
                    why);
    fleet_.run.io.stop();
  }

  void submit() {
    JobForm job;
    job.uid = "job-000412";
    job.lane = "gatecheck";
    job.owner = "frontdesk";
    job.shape = "daemon";
    job.rank = "critical";
    job.shards = 2;
    job.cores = 4;
    job.ram_gb = 29;
    job.scatter = true;
    job.loaners = false;
    job.pull_gb = 3;
    job.expect_s = 0;
    fleet_.jobs[job.uid] = {job, 0, 1, {}, {}};
    send(fleet_.run, fleet_.controllers.port(0), "POST", "/api/jobs", pack(job), 5,
         [this](int status, const std::string& body) {
           fleet_.run.note("user: submit job-000412 -> " + std::to_string(status) + " " +
                           status_of(body));
           if (status != 201 && status != 200) fleet_.run.after(1, [this] { submit(); });
         });
  }

  // The machine of the one zone that has a task, if both zones have one.
  void watch() {
    const double now = fleet_.run.now();
    for (std::size_t i = 0; i < Controllers::kCount; ++i) {
      if (now > 5 && !fleet_.controllers.alive(i)) return finish(2, "a controller ended");
    }
    if (begun_at_ == 0) {
      std::set<std::string> zones;
      for (const auto& [host, shards] : on_) {
        if (!shards.empty()) zones.insert(fleet_.cloud.hosts.at(host).yard);
      }
      if (zones.size() == 2 && now > 15)
        begin();
      else if (now > kSetUpWithin)
        return finish(2, "the service did not start in both zones");
    } else {
      for (const auto& [host, worker] : fleet_.workers) {
        auto& known = batons_[host];
        if (worker->baton() != known)
          fleet_.run.note(host + ": baton " + std::to_string(worker->baton()));
        known = worker->baton();
      }
      if (now > begun_at_ + kTroubleLasts) return finish(0, "no machine in use was taken away");
    }
    fleet_.run.after(0.25, [this] { watch(); });
  }

  void begin() {
    begun_at_ = fleet_.run.now();
    if (!options_.trouble) return;
    for (const auto& [host, worker] : fleet_.workers)
      former_baton_ = std::max(former_baton_, worker->baton());
    partition_ = true;
    fleet_.state.refused[kFormer] = true;
    for (const std::size_t other : {0, 2}) {
      fleet_.controllers.link(kFormer, other).set(Proxy::Mode::reset);
      fleet_.controllers.link(other, kFormer).set(Proxy::Mode::reset);
    }
    fleet_.run.note("the zones can't reach each other, and the state service refuses " +
                    fleet_.controllers.name(kFormer));
  }

  void released(std::size_t node, const std::string& host) {
    if (begun_at_ == 0 || node != kFormer) return;
    const auto found = fleet_.workers.find(host);
    if (found == fleet_.workers.end() || on_[host].empty()) return;
    // Tokens that the former leader gives are those that the machines of its zone have seen.
    std::uint64_t former = 0;
    for (const auto& [other, worker] : fleet_.workers) {
      if (fleet_.cloud.hosts.at(other).yard == fleet_.controllers.zone(kFormer))
        former = std::max(former, worker->baton());
    }
    fleet_.run.note(host + " has seen baton " + std::to_string(found->second->baton()) +
                    ", the machines of the former leader's zone " + std::to_string(former));
    if (found->second->baton() <= former) return;
    finish(1, fleet_.controllers.name(node) + ", which another controller has replaced, has " +
                  host + " deleted with " + *on_[host].begin() + " on it");
  }

  const Options& options_;
  Fleet fleet_;
  std::map<std::string, std::set<std::string>> on_;  // shards by host
  std::map<std::string, std::uint64_t> batons_;
  bool partition_ = false;
  std::uint64_t former_baton_ = 0;
  double begun_at_ = 0;
  int verdict_ = 2;
};

}  // namespace

int stale_leader_deletes(const Options& options) {
  asio::io_context io(1);
  // Not destroyed: callbacks of sockets still refer to it when the program ends.
  auto* const one = new Case(io, options);
  const int verdict = one->play();
  one->end();
  return verdict;
}

}  // namespace review
