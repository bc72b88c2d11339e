// The state service closes its connections, and some of its answers take a few hundred
// milliseconds. A controller must take requests again afterwards.
#include <array>
#include <set>

#include "cases.hpp"
#include "platform.hpp"

namespace review {
namespace {

constexpr double kReadyWithin = 20;  // s: for the start
constexpr double kObserved = 60;     // s: for which the controllers are watched afterwards
constexpr double kSlowAnswer = 0.4;  // s: "occasionally a few hundred" milliseconds
constexpr int kSubmissions = 8;      // at each controller: 24 changes of 25 a second

class Case {
 public:
  Case(asio::io_context& io, const Options& options)
      : options_(options),
        run_(io, options.record),
        state_(run_),
        cloud_(
            run_,
            {"vembanad-g12", 12, 2, 96, 90, 0.5, 5.97, 2.15, 40, {"kochi-east", "kollam-south"}}),
        controllers_(run_, options.program, options.folder, site(), state_, cloud_) {
    state_.delay = [this](const Request& request) {
      return slow_ && request.path == "/commit" ? kSlowAnswer : 0.002;
    };
    state_.closes = [this](const Request& request) {
      return options_.trouble && slow_ && request.path.rfind("/follow", 0) != 0;
    };
  }

  int play() {
    for (std::size_t i = 0; i < Controllers::kCount; ++i) controllers_.start(i);
    watch();
    run_.io.run();
    return verdict_;
  }

  void end() {
    for (std::size_t i = 0; i < Controllers::kCount; ++i) controllers_.signal(i, 9);
  }

 private:
  static Site site() {
    Site site;
    for (const char* team : {"frontdesk", "dueskeepers", "clubinsight"})
      site.teams += std::string("[[deployment.teams]]\nname = \"") + team + "\"\n";
    return site;
  }

  void finish(int verdict, const std::string& why) {
    verdict_ = verdict;
    run_.note((verdict == 0 ? "held: " : verdict == 1 ? "BROKEN: " : "could not run: ") + why);
    run_.io.stop();
  }

  // Probes `GET /ready` of every controller once a second, like the load balancer.
  void watch() {
    for (std::size_t i = 0; i < Controllers::kCount; ++i) {
      if (!controllers_.alive(i)) return finish(2, "a controller ended");
      send(run_, controllers_.port(i), "GET", "/ready", "", 1, [this, i](int status, std::string) {
        if (status != last_status_[i])
          run_.note(controllers_.name(i) + ": /ready " + std::to_string(status));
        last_status_[i] = status;
        if (status == 200) ready_at_[i] = run_.now();
      });
    }
    step();
    run_.after(1, [this] { watch(); });
  }

  void step() {
    const double now = run_.now();
    if (burst_at_ == 0) {
      bool all = true;
      for (std::size_t i = 0; i < Controllers::kCount; ++i) all = all && last_status_[i] == 200;
      if (all && now > 5) return burst();
      if (now > kReadyWithin) return finish(2, "the controllers did not become ready");
      return;
    }
    if (now < burst_at_ + kObserved) return;
    for (std::size_t i = 0; i < Controllers::kCount; ++i) {
      const double silent = now - ready_at_[i];
      run_.note(controllers_.name(i) + ": /ready was 200 last " + std::to_string(silent) +
                " s ago");
      if (silent > 30)
        return finish(1,
                      controllers_.name(i) + " takes no requests although every service answers");
    }
    finish(0, "every controller takes requests");
  }

  // Users submit some jobs at once to each controller, and poll one of them.
  void burst() {
    burst_at_ = run_.now();
    slow_ = true;
    run_.note(std::string("the answers to transactions take 0.4 s") +
              (options_.trouble ? ", and the state service closes its connections" : ""));
    for (std::size_t i = 0; i < Controllers::kCount; ++i) {
      for (int n = 0; n < kSubmissions; ++n) submit(i, n);
      run_.after(0.05, [this, i] { poll(i, "job-" + std::to_string(100000 + 1000 * i)); });
    }
    run_.after(3, [this] {
      slow_ = false;
      run_.note("the state service answers as before");
    });
    for (int k = 1; k <= 10; ++k) {
      for (std::size_t i = 0; i < Controllers::kCount; ++i)
        run_.after(5.0 * k, [this, i] { poll(i, "job-" + std::to_string(100000 + 1000 * i)); });
    }
  }

  void submit(std::size_t node, int n) {
    JobForm job;
    job.uid = "job-" + std::to_string(100000 + 1000 * node + n);
    job.lane = "renewnudge";
    job.owner = "dueskeepers";
    run_.note("user: submit " + job.uid + " to " + controllers_.name(node));
    send(run_, controllers_.port(node), "POST", "/api/jobs", pack(job), 5,
         [this, uid = job.uid](int status, std::string body) {
           run_.note("user: submit " + uid + " -> " + std::to_string(status) + " " +
                     status_of(body));
         });
  }

  void poll(std::size_t node, const std::string& uid) {
    send(run_, controllers_.port(node), "GET", "/api/jobs/" + uid, "", 2,
         [this, node, uid](int status, std::string body) {
           run_.note("user: poll " + uid + " at " + controllers_.name(node) + " -> " +
                     std::to_string(status) + " " + status_of(body));
         });
  }

  const Options& options_;
  Run run_;
  StateService state_;
  Cloud cloud_;
  Controllers controllers_;
  bool slow_ = false;
  double burst_at_ = 0;
  std::array<int, Controllers::kCount> last_status_{};
  std::array<double, Controllers::kCount> ready_at_{};
  int verdict_ = 2;
};

}  // namespace

int closing_state_service(const Options& options) {
  asio::io_context io(1);
  // Not destroyed: callbacks of sockets still refer to it when the program ends.
  auto* const one = new Case(io, options);
  const int verdict = one->play();
  one->end();
  return verdict;
}

}  // namespace review
