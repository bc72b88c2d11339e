#include "worker.hpp"

#include <algorithm>

#include "config/endpoint.hpp"

namespace review {

namespace wire = elmstall::wire;
using elmstall::config::parse_endpoint;

Worker::Worker(Run& run, const Host& host, const Site& site, std::vector<Address> nodes,
               std::map<std::string, KnownJob>& jobs, TaskEvents& events)
    : run_(run), host_(host), site_(site), nodes_(std::move(nodes)), jobs_(jobs), events_(events) {
  lease_from_ = run.now();
  server_ = std::make_unique<elmstall::net::HttpServer>(
      run.io, parse_endpoint(host.addr), elmstall::net::ServerLimits{64, 65536, 64},
      [this, living = living_](const Request& request, const Responder& respond) {
        if (!*living) return;
        on_orders(request, respond);
      });
  run.after(0, [this, living = living_] {
    if (*living) tick();
  });
}

void Worker::on_orders(const Request& request, const Responder& respond) {
  const auto later = [this, living = living_, request, respond] {
    run_.after(0.02, [this, living, request, respond] {
      if (*living) on_orders(request, respond);
    });
  };
  if (cut) return later();
  if (request.path == "/status") {
    ++tick_;
    return respond({200, pack_report(), 0});
  }
  const auto document = wire::Document::parse(request.body);
  const auto fields = document.fields();
  if (fields.find("baton") == nullptr || fields.find("shift") == nullptr)
    return respond({400, {}, 0});
  const auto baton = fields.integer("baton");
  if (!admits(baton)) return later();
  const bool matches = baton >= baton_ && fields.integer("shift") == shift_;
  if (matches) {
    if (baton > baton_) changed();
    baton_ = baton;
    if (const auto* orders = fields.find("orders")) execute(*orders);
  }
  ++tick_;
  respond({matches ? 200 : 409, pack_report(), 0});
}

Worker::~Worker() {
  *living_ = false;
  for (const auto& [shard, task] : tasks_) {
    if (task.status != "fetching" && task.status != "ended")
      events_.left(shard, task.attempt, host_.name);
  }
}

std::size_t Worker::tasks_on_machine() const {
  return static_cast<std::size_t>(
      std::count_if(tasks_.begin(), tasks_.end(),
                    [](const auto& entry) { return entry.second.status != "ended"; }));
}

void Worker::tick() {
  const double now = run_.now();
  if (now - lease_from_ > site_.lease_s) expire();
  const bool due = now >= next_report_ || (changed_ && now >= last_report_ + 0.5);
  if (!in_flight_ && due && now >= next_report_ - site_.report_s * 1.25) report();
  run_.after(0.02, [this, living = living_] {
    if (*living) tick();
  });
}

void Worker::expire() {
  for (const auto& [shard, task] : tasks_) {
    if (task.status != "fetching" && task.status != "ended")
      events_.left(shard, task.attempt, host_.name);
  }
  if (!tasks_.empty()) run_.note(host_.name + ": the lease is over, tasks forgotten");
  tasks_.clear();
  ++shift_;
  lease_from_ = run_.now();
  changed();
}

std::string Worker::pack_report() {
  wire::Packer packer;
  packer.map(9).key("host").text(host_.name).key("addr").text(host_.addr);
  packer.key("build").text(host_.build).key("yard").text(host_.yard);
  packer.key("loaners").flag(host_.loaners).key("shift").integer(shift_);
  packer.key("tick").integer(tick_).key("baton").integer(baton_);
  packer.key("shards").list(tasks_.size());
  for (const auto& [shard, task] : tasks_) {
    const bool ended = task.status == "ended";
    packer.map(ended ? 4 : 3).key("shard").text(shard).key("try").integer(task.attempt);
    packer.key("status").text(task.status);
    if (ended) packer.key("cause").text(task.cause);
  }
  return packer.take();
}

void Worker::report() {
  in_flight_ = true;
  changed_ = false;
  const double now = run_.now();
  last_report_ = now;
  next_report_ = now + site_.report_s;
  ++tick_;
  const auto& node = nodes_[node_ % nodes_.size()];
  const auto shift = shift_;
  auto done = [this, living = living_, shift, now](int status, const std::string& body) {
    if (*living) on_reply(shift, now, status, body);
  };
  if (cut) {
    // Delivered late, when the worker does not wait for the answer any more.
    deliver_late(node.port, pack_report());
    return run_.after(4, [done] { done(0, ""); });
  }
  if (!reaches(node.name)) return run_.after(4, [done] { done(0, ""); });
  if (!client_)
    client_ = std::make_unique<elmstall::net::HttpClient>(
        run_.io, parse_endpoint("127.0.0.1:" + std::to_string(node.port)), 1);
  client_->request("POST", "/v1/report", pack_report(), 4,
                   [done](const elmstall::net::Reply& reply) { done(reply.status, reply.body); });
}

void Worker::deliver_late(std::uint16_t port, const std::string& body) {
  run_.after(0.05, [this, living = living_, port, body] {
    if (!*living) return;
    if (cut) return deliver_late(port, body);
    send(run_, port, "POST", "/v1/report", body, 4, [](int, const std::string&) {});
  });
}

std::set<std::string>& Worker::job_results(const std::string& shard) {
  return jobs_[shard.substr(0, shard.find('/'))].results;
}

void Worker::try_next(double pause_s) {
  ++node_;
  next_report_ = run_.now() + pause_s;
  changed_ = false;
  // The client may be calling back just now.
  run_.after(0, [old = std::shared_ptr<elmstall::net::HttpClient>(std::move(client_))] {});
}

void Worker::on_reply(std::uint64_t shift, double sent_at, int status, const std::string& body) {
  in_flight_ = false;
  if (status == 421) {
    std::string steward;
    try {
      steward = wire::Document::parse(body).fields().maybe_text("steward").value_or("");
    } catch (const wire::DecodeError&) {
    }
    const auto& own = nodes_[node_ % nodes_.size()].name;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      if (nodes_[i].name != steward || steward == own) continue;
      try_next(0.1);
      node_ = i;
      return;
    }
    return try_next(1);
  }
  if (status != 200) return try_next(1);
  const auto document = wire::Document::parse(body);
  const auto fields = document.fields();
  if (fields.find("baton") == nullptr || fields.integer("baton") < baton_ || shift != shift_)
    return;
  if (fields.integer("baton") > baton_) changed();
  baton_ = fields.integer("baton");
  lease_from_ = std::max(lease_from_, sent_at);
  if (const auto* orders = fields.find("orders")) execute(*orders);
}

void Worker::execute(const wire::Object& orders) {
  for (const auto& item : wire::elements(&orders, "orders")) {
    const wire::Fields order(item);
    const auto verb = order.text("verb");
    const auto shard = order.text("shard");
    const auto attempt = order.integer("try");
    if (verb == "run") {
      run_task(shard, attempt);
      continue;
    }
    const auto [first, last] = tasks_.equal_range(shard);
    for (auto it = first; it != last; ++it) {
      if (it->second.attempt != attempt) continue;
      if (verb == "kill" && it->second.status != "ended") {
        if (verbose) run_.note(host_.name + ": kill " + shard + " try " + std::to_string(attempt));
        end_task(shard, it->second.serial, "halted");
      } else if (verb == "clear" && it->second.status == "ended") {
        tasks_.erase(it);
        changed();
      }
      break;
    }
  }
}

void Worker::run_task(const std::string& shard, std::uint64_t attempt) {
  const auto [first, last] = tasks_.equal_range(shard);
  bool in_use = false;
  for (auto it = first; it != last; ++it) {
    if (it->second.attempt == attempt) return;
    if (it->second.status != "ended") in_use = true;
  }
  const auto serial = next_serial_++;
  const auto job = jobs_.find(shard.substr(0, shard.find('/')));
  Task task{attempt, "fetching", "", 0, 0, 0, serial};
  double cores = 0, cards = 0, ram_gb = 0;
  for (const auto& [other, there] : tasks_) {
    if (there.status == "ended") continue;
    cores += there.cores;
    cards += there.cards;
    ram_gb += there.ram_gb;
  }
  changed();
  if (job == jobs_.end()) {
    task.status = "ended";
    task.cause = "unknown";
  } else if (in_use) {
    task.status = "ended";
    task.cause = "in_use";
  } else {
    const auto& form = job->second.form;
    task.cores = form.cores;
    task.cards = form.cards;
    task.ram_gb = form.ram_gb;
    if (cores + form.cores > 12 + 1e-6 || cards + form.cards > 2 + 1e-6 ||
        ram_gb + form.ram_gb > 96 + 1e-6) {
      task.status = "ended";
      task.cause = "no_room";
    }
  }
  if (verbose)
    run_.note(host_.name + ": run " + shard + " try " + std::to_string(attempt) +
              (task.status == "ended" ? " refused: " + task.cause : ""));
  tasks_.emplace(shard, task);
  if (task.status == "ended") return;
  fetch(shard, task.serial, run_.now());
}

Worker::Task* Worker::find(const std::string& shard, std::uint64_t serial) {
  const auto [first, last] = tasks_.equal_range(shard);
  const auto it =
      std::find_if(first, last, [&](const auto& one) { return one.second.serial == serial; });
  return it == last || it->second.status == "ended" ? nullptr : &it->second;
}

void Worker::fetch(const std::string& shard, std::uint64_t serial, double since) {
  auto* const task = find(shard, serial);
  if (task == nullptr) return;
  const auto& job = jobs_.at(shard.substr(0, shard.find('/')));
  if (fetched(job, shard, run_.now() - since)) return begin(shard, serial, task->attempt);
  run_.after(0.02, [this, living = living_, shard, serial, since] {
    if (*living) fetch(shard, serial, since);
  });
}

void Worker::begin(const std::string& shard, std::uint64_t serial, std::uint64_t attempt) {
  auto& job = jobs_.at(shard.substr(0, shard.find('/')));
  const bool group = job.form.shape == "group";
  find(shard, serial)->status = group ? "gathering" : "running";
  events_.began(shard, attempt, host_.name);
  changed();
  if (job.results.contains(shard)) return end_task(shard, serial, "done");
  auto run = [this, living = living_, shard, serial, run_s = job.run_s] {
    if (!*living) return;
    auto* const task = find(shard, serial);
    if (task == nullptr) return;
    task->status = "running";
    changed();
    if (run_s <= 0) return;
    run_.after(run_s, [this, living, shard, serial] {
      if (*living) end_task(shard, serial, "done");
    });
  };
  if (!group) return run();
  // The tasks of a group start together. They end together as well, after the same time.
  auto& waiting = job.gathered[attempt];
  waiting.push_back(run);
  if (waiting.size() < job.form.shards) return;
  for (const auto& start : waiting) start();
}

void Worker::end_task(const std::string& shard, std::uint64_t serial, const std::string& cause) {
  const auto [first, last] = tasks_.equal_range(shard);
  const auto it =
      std::find_if(first, last, [&](const auto& one) { return one.second.serial == serial; });
  if (it == last || it->second.status == "ended") return;
  if (it->second.status != "fetching") events_.left(shard, it->second.attempt, host_.name);
  if (cause == "done") job_results(shard).insert(shard);
  it->second.status = "ended";
  it->second.cause = cause;
  changed();
}

}  // namespace review
