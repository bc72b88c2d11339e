// A whole small deployment: state service, cloud, controllers, and a worker for each machine.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "cases.hpp"
#include "worker.hpp"

namespace review {

class Fleet {
 public:
  Fleet(asio::io_context& io, const Options& options, Site site, double boot_s)
      : run(io, options.record),
        state(run),
        cloud(run, {"vembanad-g12", 12, 2, 96, 90, 0.5, 5.97, 2.15, 40, site.zones}),
        controllers(run, options.program, options.folder, site, state, cloud),
        site_(site) {
    cloud.capacity[{"kochi-east", false}] = 9;
    cloud.capacity[{"kochi-east", true}] = 6;
    cloud.capacity[{"kollam-south", false}] = 8;
    cloud.capacity[{"kollam-south", true}] = 5;
    cloud.hired = [this, boot_s](Host& host) {
      run.after(boot_s, [this, name = host.name] { boot(name); });
    };
    cloud.released = [this](const std::string& name) {
      // Destroyed outside the callbacks of its own connections.
      std::shared_ptr<Worker> gone = std::move(workers[name]);
      workers.erase(name);
      run.after(0, [gone] {});
    };
  }
  ~Fleet() { workers.clear(); }

  static std::string teams() {
    std::string text;
    for (const char* team : {"frontdesk", "dueskeepers", "clubinsight"})
      text += std::string("[[deployment.teams]]\nname = \"") + team + "\"\n";
    return text;
  }

  Run run;
  StateService state;
  Cloud cloud;
  Controllers controllers;
  std::map<std::string, KnownJob> jobs;
  TaskEvents events;
  std::map<std::string, std::shared_ptr<Worker>> workers;
  std::function<void(Worker&)> booted = [](Worker&) {};

 private:
  void boot(const std::string& name) {
    const auto found = cloud.hosts.find(name);
    if (found == cloud.hosts.end()) return;
    found->second.status = "running";
    std::vector<Worker::Address> nodes;
    for (std::size_t i = 0; i < Controllers::kCount; ++i)
      nodes.push_back({controllers.name(i), controllers.port(i)});
    workers[name] = std::make_shared<Worker>(run, found->second, site_, nodes, jobs, events);
    run.note(name + ": up");
    booted(*workers[name]);
  }
  Site site_;
};

}  // namespace review
