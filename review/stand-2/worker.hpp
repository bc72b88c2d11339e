// Stand-in of a worker: reports, executes orders, keeps its lease. As in PROTOCOL-elmstall.md,
// "Workers -> controller nodes" and "Controller nodes -> workers".
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "platform.hpp"

namespace review {

// What workers know of a job whose description its user has uploaded.
struct KnownJob {
  JobForm form;
  double run_s = 60;                   // 0: runs until it is stopped
  double fetch_s = 2;                  // for the image
  std::set<std::string> results = {};  // its completed tasks
  // Tasks of a group that wait for the others, by attempt: how each of them begins to run.
  std::map<std::uint64_t, std::vector<std::function<void()>>> gathered = {};
};

// What happens to tasks, for the judge. `where` is the worker's name.
struct TaskEvents {
  std::function<void(const std::string& shard, std::uint64_t attempt, const std::string& where)>
      began = [](const auto&, auto, const auto&) {};  // it has its image
  std::function<void(const std::string& shard, std::uint64_t attempt, const std::string& where)>
      left = [](const auto&, auto, const auto&) {};
};

class Worker {
 public:
  struct Address {
    std::string name;
    std::uint16_t port = 0;
  };
  Worker(Run& run, const Host& host, const Site& site, std::vector<Address> nodes,
         std::map<std::string, KnownJob>& jobs, TaskEvents& events);
  ~Worker();
  const std::string& name() const { return host_.name; }
  // Whether the worker can reach the node, asked for each report.
  std::function<bool(const std::string& node)> reaches = [](const std::string&) { return true; };
  std::size_t tasks_on_machine() const;
  std::uint64_t baton() const { return baton_; }
  // Whether orders under this token reach the worker. Others are held, as in a cut.
  std::function<bool(std::uint64_t baton)> admits = [](std::uint64_t) { return true; };
  // Whether a task that has waited so long for its image has it.
  std::function<bool(const KnownJob& job, const std::string& shard, double waited_s)> fetched =
      [](const KnownJob& job, const std::string&, double waited_s) {
        return waited_s >= job.fetch_s;
      };
  // When the last report was sent.
  double last_report() const { return last_report_; }
  bool verbose = true;
  // The machine is cut off: what is sent to it, and what it sends, is delivered when the cut ends.
  bool cut = false;

 private:
  struct Task {
    std::uint64_t attempt = 0;
    std::string status, cause;
    double cores = 0, cards = 0, ram_gb = 0;
    std::uint64_t serial = 0;
  };
  void tick();
  void on_orders(const Request& request, const Responder& respond);
  void report();
  void deliver_late(std::uint16_t port, const std::string& body);
  std::set<std::string>& job_results(const std::string& shard);
  void on_reply(std::uint64_t shift, double sent_at, int status, const std::string& body);
  void try_next(double pause_s);
  void changed() { changed_ = true; }
  void execute(const elmstall::wire::Object& orders);
  void run_task(const std::string& shard, std::uint64_t attempt);
  void fetch(const std::string& shard, std::uint64_t serial, double since);
  void begin(const std::string& shard, std::uint64_t serial, std::uint64_t attempt);
  // The task with this serial that has not ended, or null.
  Task* find(const std::string& shard, std::uint64_t serial);
  void end_task(const std::string& shard, std::uint64_t serial, const std::string& cause);
  void expire();
  std::string pack_report();

  Run& run_;
  Host host_;
  Site site_;
  std::vector<Address> nodes_;
  std::map<std::string, KnownJob>& jobs_;
  TaskEvents& events_;
  std::shared_ptr<bool> living_ = std::make_shared<bool>(true);
  std::unique_ptr<elmstall::net::HttpServer> server_;
  std::unique_ptr<elmstall::net::HttpClient> client_;
  std::size_t node_ = 0;
  std::uint64_t shift_ = 1, tick_ = 0, baton_ = 0, next_serial_ = 1;
  double lease_from_ = 0;
  bool in_flight_ = false;
  bool changed_ = true;
  double last_report_ = -100, next_report_ = 0;
  std::multimap<std::string, Task> tasks_;  // by shard; ended ones included
};

}  // namespace review
