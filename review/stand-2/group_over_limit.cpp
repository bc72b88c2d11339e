// A group of two tasks completes on a machine that has lost the network, and is started again
// elsewhere, since nobody has heard of it. One of its tasks gets its image first and ends at once,
// because the group's result is kept. Its team must stay within its limit when the other task gets
// its image too.
#include <algorithm>
#include <set>

#include "cases.hpp"
#include "fleet.hpp"

namespace review {
namespace {

constexpr double kLimit = 8;         // CPUs of the team
constexpr double kRuns = 20;         // s that the group runs
constexpr double kCutAfter = 15;     // s of that, after which its machine loses the network
constexpr double kCutLasts = 20;     // s
constexpr double kSetUpWithin = 45;  // s
constexpr double kEndsAt = 110;      // s
constexpr const char* kGroup = "job-000412";
constexpr const char* kArray = "job-000413";
constexpr const char* kService = "job-000414";

class Case {
 public:
  Case(asio::io_context& io, const Options& options)
      : options_(options), fleet_(io, options, site(), 3) {}

  int play() {
    for (std::size_t i = 0; i < Controllers::kCount; ++i) fleet_.controllers.start(i);
    auto& cloud = fleet_.cloud;
    cloud.capacity = {{{"kochi-east", false}, 1}};
    fleet_.events.began = [this](const std::string& shard, std::uint64_t attempt,
                                 const std::string& where) { began(shard, attempt, where); };
    fleet_.events.left = [this](const std::string& shard, std::uint64_t attempt,
                                const std::string& where) {
      fleet_.run.note(where + ": " + shard + " try " + std::to_string(attempt) + " is gone");
      on_.erase({shard, where});
    };
    fleet_.booted = [this](Worker& worker) {
      worker.fetched = [this, name = worker.name()](const KnownJob& job, const std::string& shard,
                                                    double waited_s) {
        return fetched(name, job, shard, waited_s);
      };
    };
    fleet_.run.after(6, [this] {
      submit({.uid = kGroup,
              .owner = "clubinsight",
              .shape = "group",
              .rank = "normal",
              .shards = 2,
              .cores = 4,
              .ram_gb = 29},
             kRuns, 1);
    });
    fleet_.run.after(kSetUpWithin, [this] {
      if (cut_at_ == 0 && options_.trouble) finish(2, "the group did not start on one machine");
    });
    fleet_.run.after(kEndsAt, [this] {
      if (array_starts_ == 0) return finish(2, "the array of the same team did not start");
      finish(0, "the team stayed within its limit");
    });
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
    site.teams =
        "[[deployment.teams]]\nname = \"frontdesk\"\n"
        "[[deployment.teams]]\nname = \"clubinsight\"\ncpus = 0.0\ncpus_max = 8.0\n";
    return site;
  }

  void finish(int verdict, const std::string& why) {
    if (finished_) return;
    finished_ = true;
    verdict_ = verdict;
    fleet_.run.note((verdict == 0   ? "held: "
                     : verdict == 1 ? "BROKEN: "
                                    : "could not run: ") +
                    why);
    fleet_.run.io.stop();
  }

  void submit(JobForm job, double run_s, double fetch_s) {
    job.lane = job.shape;
    job.loaners = false;
    fleet_.jobs[job.uid] = {job, run_s, fetch_s, {}, {}};
    send_until_accepted(job.uid, pack(job), 0);
  }

  void send_until_accepted(const std::string& uid, const std::string& body, std::size_t node) {
    send(fleet_.run, fleet_.controllers.port(node % 3), "POST", "/api/jobs", body, 5,
         [this, uid, body, node](int status, const std::string& answer) {
           fleet_.run.note("user: submit " + uid + " -> " + std::to_string(status) + " " +
                           status_of(answer));
           if (status == 200 || status == 201 || status == 400 || status == 422) return;
           fleet_.run.after(1, [=, this] { send_until_accepted(uid, body, node + 1); });
         });
  }

  // How long an image takes is up to the machine: a third more or less than the usual time.
  bool fetched(const std::string& host, const KnownJob& job, const std::string& shard,
               double waited_s) {
    if (job.form.uid != kGroup || host == first_host_ || first_host_.empty())
      return waited_s >= job.fetch_s;
    if (second_try_at_ == 0) second_try_at_ = fleet_.run.now();
    fetching_.insert({host, shard});
    const double usual = job.form.pull_gb / 0.5;
    if (waited_s < usual * 2 / 3) return false;
    if (waited_s > usual * 4 / 3) return true;
    if (fetching_.size() < 2) return false;
    if (host == fetching_.begin()->first) {
      // This machine has it first, just after the other one has reported.
      const auto other = fleet_.workers.find(fetching_.rbegin()->first);
      return other != fleet_.workers.end() &&
             fleet_.run.now() - other->second->last_report() < 0.15;
    }
    return array_starts_ > 0;
  }

  void began(const std::string& shard, std::uint64_t attempt, const std::string& where) {
    on_.insert({shard, where});
    if (shard.rfind(kArray, 0) == 0) ++array_starts_;
    double used = 0;
    for (const auto& [other, host] : on_) {
      const auto& form = fleet_.jobs.at(other.substr(0, other.find('/'))).form;
      if (form.owner == "clubinsight") used += form.cores;
    }
    fleet_.run.note(where + ": " + shard + " try " + std::to_string(attempt) +
                    " is on it; the team clubinsight uses " + std::to_string(used) + " CPUs");
    if (shard.rfind(kGroup, 0) == 0 && first_host_.empty()) {
      first_host_ = where;
      // More machines for the others.
      fleet_.cloud.capacity = {{{"kochi-east", false}, 1}, {{"kollam-south", false}, 1}};
      fleet_.run.after(1, [this] {
        submit({.uid = kService,
                .owner = "frontdesk",
                .shape = "daemon",
                .rank = "idle",
                .shards = 2,
                .cores = 4,
                .ram_gb = 29,
                .scatter = true},
               0, 1);
      });
      if (options_.trouble) fleet_.run.after(kCutAfter, [this] { cut(); });
    }
    if (used > kLimit + 1e-6)
      finish(1, "the team clubinsight uses " + std::to_string(used) + " CPUs of " +
                    std::to_string(kLimit) + " as " + shard + " starts");
  }

  void cut() {
    const auto worker = fleet_.workers.find(first_host_);
    const bool both = on_.contains({std::string(kGroup) + "/0", first_host_}) &&
                      on_.contains({std::string(kGroup) + "/1", first_host_});
    if (worker == fleet_.workers.end() || !both)
      return finish(2, "the group is not on one machine");
    cut_at_ = fleet_.run.now();
    worker->second->cut = true;
    fleet_.run.note(first_host_ + " loses the network");
    fleet_.run.after(kCutLasts, [this] {
      const auto again = fleet_.workers.find(first_host_);
      if (again == fleet_.workers.end()) return;
      again->second->cut = false;
      fleet_.run.note(first_host_ + " has the network again");
    });
  }

  // The array of the same team is submitted when the group has been started again; without the
  // cut, after the group.
  void watch() {
    const bool due =
        options_.trouble ? second_try_at_ != 0 : fleet_.jobs[kGroup].results.size() == 2;
    if (due && !array_submitted_) {
      array_submitted_ = true;
      submit({.uid = kArray,
              .owner = "clubinsight",
              .rank = "normal",
              .shards = 1,
              .cores = 8,
              .ram_gb = 29,
              .pull_gb = 0.1},
             8, 0.2);
    }
    fleet_.run.after(0.05, [this] { watch(); });
  }

  const Options& options_;
  Fleet fleet_;
  std::set<std::pair<std::string, std::string>> on_;        // shard and host
  std::set<std::pair<std::string, std::string>> fetching_;  // host and shard, second try
  std::string first_host_;
  double cut_at_ = 0, second_try_at_ = 0;
  bool array_submitted_ = false, finished_ = false;
  int array_starts_ = 0;
  int verdict_ = 2;
};

}  // namespace

int group_over_limit(const Options& options) {
  asio::io_context io(1);
  // Not destroyed: callbacks of sockets still refer to it when the program ends.
  auto* const one = new Case(io, options);
  const int verdict = one->play();
  one->end();
  return verdict;
}

}  // namespace review
