// A user submits a job whose list of allowed machine types is empty. None of its tasks may start on
// a type that the list does not name.
#include <algorithm>

#include "cases.hpp"
#include "fleet.hpp"

namespace review {
namespace {

constexpr double kObserved = 30;  // s after the submission
constexpr const char* kJob = "job-000412";

class Case {
 public:
  Case(asio::io_context& io, const Options& options)
      : options_(options), fleet_(io, options, site(), 3) {}

  int play() {
    for (std::size_t i = 0; i < Controllers::kCount; ++i) fleet_.controllers.start(i);
    fleet_.events.began = [this](const std::string& shard, std::uint64_t attempt,
                                 const std::string& where) {
      const auto& build = fleet_.cloud.hosts.at(where).build;
      fleet_.run.note(where + ", a " + build + ": " + shard + " try " + std::to_string(attempt) +
                      " starts");
      ++starts_;
      const auto& allowed = fleet_.jobs.at(kJob).form.builds;
      if (std::find(allowed->begin(), allowed->end(), build) == allowed->end())
        finish(1, shard + " starts on the type " + build + ", which its job does not allow");
    };
    fleet_.run.after(6, [this] { submit(0); });
    fleet_.run.after(6 + kObserved, [this] {
      if (!answered_) return finish(2, "the submission was not answered");
      if (!options_.trouble && starts_ == 0) return finish(2, "no task started");
      finish(0, std::to_string(starts_) + " starts, none on a type that is not allowed");
    });
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

  void finish(int verdict, const std::string& why) {
    verdict_ = verdict;
    fleet_.run.note((verdict == 0   ? "held: "
                     : verdict == 1 ? "BROKEN: "
                                    : "could not run: ") +
                    why);
    fleet_.run.io.stop();
  }

  void submit(std::size_t node) {
    JobForm job;
    job.uid = kJob;
    job.lane = "renewnudge";
    job.owner = "dueskeepers";
    job.rank = "normal";
    job.shards = 3;
    job.builds.emplace();
    if (!options_.trouble) job.builds->push_back("vembanad-g12");
    fleet_.jobs[job.uid] = {job, 3, 1, {}, {}};
    send(fleet_.run, fleet_.controllers.port(node % 3), "POST", "/api/jobs", pack(job), 5,
         [this, node, types = job.builds->size()](int status, const std::string& body) {
           fleet_.run.note("user: submit " + std::string(kJob) + " with a list of " +
                           std::to_string(types) + " types -> " + std::to_string(status) + " " +
                           status_of(body));
           answered_ = status == 200 || status == 201 || status == 400 || status == 422;
           if (!answered_) fleet_.run.after(1, [this, node] { submit(node + 1); });
         });
  }

  const Options& options_;
  Fleet fleet_;
  bool answered_ = false;
  int starts_ = 0;
  int verdict_ = 2;
};

}  // namespace

int empty_builds(const Options& options) {
  asio::io_context io(1);
  // Not destroyed: callbacks of sockets still refer to it when the program ends.
  auto* const one = new Case(io, options);
  const int verdict = one->play();
  one->end();
  return verdict;
}

}  // namespace review
