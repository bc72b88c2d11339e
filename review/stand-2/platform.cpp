#include "platform.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "config/endpoint.hpp"

namespace review {

namespace wire = elmstall::wire;
using elmstall::config::parse_endpoint;
using elmstall::net::HttpServer;
using elmstall::net::ServerLimits;

namespace {

std::string parameter(const std::string& path, const std::string& name) {
  const auto query = path.find('?');
  if (query == std::string::npos) return {};
  std::stringstream parts(path.substr(query + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    if (part.rfind(name + "=", 0) == 0) return part.substr(name.size() + 1);
  }
  return {};
}

Response revision_answer(int status, std::uint64_t revision) {
  wire::Packer packer;
  packer.map(1).key("ledger_rev").integer(revision);
  return {status, packer.take(), 0};
}

Response error_answer(int status, const std::string& text) {
  wire::Packer packer;
  packer.map(1).key("error").text(text);
  return {status, packer.take(), 0};
}

constexpr std::size_t kBody = 1024 * 1024;

}  // namespace

// --- the run -----------------------------------------------------------------------------------

Run::Run(asio::io_context& loop, const std::string& record_file)
    : io(loop), file_(std::fopen(record_file.c_str(), "w")) {
  if (file_ == nullptr) throw std::runtime_error("cannot write " + record_file);
}

Run::~Run() { std::fclose(file_); }

double Run::now() const {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start_).count();
}

void Run::after(double seconds, std::function<void()> fn) {
  const auto delay = std::chrono::microseconds(static_cast<long>(seconds * 1e6));
  auto timer = std::make_shared<asio::steady_timer>(io, delay);
  timer->async_wait([timer, fn = std::move(fn)](asio::error_code error) {
    if (!error) fn();
  });
}

void Run::note(const std::string& line) {
  std::fprintf(file_, "%8.3f %s\n", now(), line.c_str());
  std::fflush(file_);
}

std::uint16_t free_port() {
  // The socket stays bound, but does not listen, so that nobody else gets the port before the
  // process that is to listen on it, which sets SO_REUSEADDR as well.
  static asio::io_context io;
  static std::vector<asio::ip::tcp::acceptor> reserved;
  auto& socket = reserved.emplace_back(io, asio::ip::tcp::v4());
  socket.set_option(asio::socket_base::reuse_address(true));
  socket.bind(parse_endpoint("127.0.0.1:0"));
  return socket.local_endpoint().port();
}

// --- state service -------------------------------------------------------------------------------

StateService::StateService(Run& run) : run_(run) {
  // With a soft limit of 0 an answer that asks for it closes its connection.
  const ServerLimits limits{4096, kBody, 0};
  for (std::size_t node = 0; node < refused.size(); ++node) {
    servers_.push_back(
        std::make_unique<HttpServer>(run.io, parse_endpoint("127.0.0.1:0"), limits,
                                     [this, node](const Request& request, Responder respond) {
                                       handle(node, request, std::move(respond));
                                     }));
  }
  tick();
}

void StateService::tick() {
  for (auto it = grants_.begin(); it != grants_.end();) {
    if (run_.now() < it->second.ends_at) {
      ++it;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, value] : values_) {
      if (value.hold == it->first) keys.push_back(key);
    }
    if (!keys.empty()) ++revision_;
    for (const auto& key : keys) put(key, std::nullopt, 0);
    it = grants_.erase(it);
  }
  answer_watches();
  run_.after(0.01, [this] { tick(); });
}

void StateService::handle(std::size_t node, const Request& request, Responder respond) {
  seen(request);
  if (cut[node]) {
    // Delivered when the cut ends; the answer finds nobody then.
    return run_.after(0.05,
                      [this, node, request] { handle(node, request, [](const Response&) {}); });
  }
  if (refused[node]) {
    if (request.path.rfind("/follow", 0) == 0)
      return run_.after(1, [respond = std::move(respond)] { respond({503, {}, 0}); });
    return respond(error_answer(503, "not now"));
  }
  const bool close = closes(request);
  auto answer = [respond = std::move(respond), close](Response response) {
    response.close_over_soft_limit = close;
    respond(std::move(response));
  };
  if (!within_rates(request)) {
    run_.note("state service: 429 for controller " + std::to_string(node));
    return answer(error_answer(429, "too many"));
  }
  if (request.path.rfind("/follow", 0) == 0) {
    watches_.push_back({parameter(request.path, "under"),
                        std::stoull(parameter(request.path, "since")),
                        run_.now() + std::atof(parameter(request.path, "hold_ms").c_str()) / 1000,
                        std::move(answer), node});
    return answer_watches();
  }
  // The request is executed at once; its answer takes its time.
  auto response = execute(request);
  run_.after(delay(request),
             [answer = std::move(answer), response = std::move(response)] { answer(response); });
}

bool StateService::within_rates(const Request& request) {
  const double now = run_.now();
  requests_left_ = std::min(rps, requests_left_ + rps * (now - refilled_at_));
  writes_left_ = std::min(write_rps, writes_left_ + write_rps * (now - refilled_at_));
  refilled_at_ = now;
  double writes = 0;
  if (request.path == "/commit") {
    const auto document = wire::Document::parse(request.body);
    const auto fields = document.fields();
    writes = static_cast<double>(wire::elements(fields.find("writes"), "writes").size());
  }
  if (requests_left_ < 1 || writes_left_ < writes) return false;
  requests_left_ -= 1;
  writes_left_ -= writes;
  return true;
}

Response StateService::execute(const Request& request) {
  const auto& path = request.path;
  if (request.method == "GET" && path.rfind("/kv?", 0) == 0) return list(path);
  if (request.method == "GET" && path.rfind("/kv/", 0) == 0) {
    const auto found = values_.find(path.substr(4));
    if (found == values_.end()) return revision_answer(404, revision_);
    wire::Packer packer;
    packer.map(found->second.hold != 0 ? 4 : 3).key("key").text(found->first);
    packer.key("value").raw(found->second.packed).key("stamp").integer(found->second.stamp);
    if (found->second.hold != 0) packer.key("hold").integer(found->second.hold);
    return {200, packer.take(), 0};
  }
  if (path == "/commit") return commit(request);
  if (path == "/grants") {
    const auto document = wire::Document::parse(request.body);
    const double life_s = document.fields().number("life_ms") / 1000;
    const auto hold = next_grant_++;
    grants_[hold] = {life_s, run_.now() + life_s};
    wire::Packer packer;
    packer.map(1).key("hold").integer(hold);
    return {200, packer.take(), 0};
  }
  if (path.rfind("/grants/", 0) == 0 && path.size() > 14) {
    const auto found = grants_.find(std::stoull(path.substr(8)));
    if (found == grants_.end()) return error_answer(404, "no such lease");
    found->second.ends_at = run_.now() + found->second.life_s;
    wire::Packer packer;
    packer.map(1).key("hold").integer(found->first);
    return {200, packer.take(), 0};
  }
  return error_answer(400, "malformed");
}

Response StateService::list(const std::string& path) {
  const auto prefix = parameter(path, "under");
  const auto since = parameter(path, "since");
  const auto most = parameter(path, "most");
  const std::size_t limit = std::min<std::size_t>(1000, most.empty() ? 1000 : std::stoul(most));
  std::vector<std::pair<std::string, const Value*>> found;
  std::size_t bytes = 0;
  bool truncated = false;
  for (auto it = values_.lower_bound(prefix); it != values_.end(); ++it) {
    if (it->first.compare(0, prefix.size(), prefix) != 0) break;
    if (!since.empty() && it->first <= since) continue;
    bytes += it->second.packed.size() + it->first.size() + 40;
    if (found.size() >= limit || bytes > 400 * 1024) {
      truncated = true;
      break;
    }
    found.emplace_back(it->first, &it->second);
  }
  wire::Packer packer;
  packer.map(3).key("truncated").flag(truncated).key("ledger_rev").integer(revision_);
  packer.key("entries").list(found.size());
  for (const auto& [key, value] : found) {
    packer.map(3).key("key").text(key).key("value").raw(value->packed);
    packer.key("stamp").integer(value->stamp);
  }
  return {200, packer.take(), 0};
}

Response StateService::commit(const Request& request) {
  const auto document = wire::Document::parse(request.body);
  const auto fields = document.fields();
  std::vector<std::string> failed;
  for (const auto& item : wire::elements(fields.find("guards"), "guards")) {
    const wire::Fields guard(item);
    const auto found = values_.find(guard.text("key"));
    const std::uint64_t stamp = found == values_.end() ? 0 : found->second.stamp;
    if (stamp != guard.integer("stamp")) failed.push_back(guard.text("key"));
  }
  const auto writes = wire::elements(fields.find("writes"), "writes");
  for (const auto& item : writes) {
    const wire::Fields write(item);
    const auto hold = write.integer_or("hold", 0);
    if (hold != 0 && !grants_.contains(hold)) return error_answer(400, "no such lease");
  }
  if (!failed.empty()) {
    wire::Packer packer;
    packer.map(2).key("failed").texts(failed).key("ledger_rev").integer(revision_);
    return {409, packer.take(), 0};
  }
  if (writes.size() > 0) ++revision_;
  for (const auto& item : writes) {
    const wire::Fields write(item);
    if (const auto key = write.maybe_text("set")) {
      put(*key, wire::pack_object(write.require("value")), write.integer_or("hold", 0));
    } else {
      put(write.text("delete"), std::nullopt, 0);
    }
  }
  answer_watches();
  return revision_answer(200, revision_);
}

void StateService::put(const std::string& key, std::optional<std::string> packed,
                       std::uint64_t hold) {
  if (!packed && values_.erase(key) == 0) return;
  if (packed) values_[key] = {*packed, revision_, hold};
  log_.push_back({key, std::move(packed), revision_});
  if (log_.size() > 10000) log_.pop_front();
}

std::optional<Response> StateService::changes(const std::string& prefix, std::uint64_t since,
                                              bool empty_too) {
  if (log_.size() == 10000 && since + 1 < log_.front().stamp) return error_answer(410, "too old");
  std::vector<const Change*> found;
  for (const auto& change : log_) {
    if (change.stamp > since && change.key.compare(0, prefix.size(), prefix) == 0)
      found.push_back(&change);
  }
  if (found.empty() && !empty_too) return std::nullopt;
  wire::Packer packer;
  packer.map(2).key("ledger_rev").integer(revision_).key("log").list(found.size());
  for (const auto* change : found) {
    packer.map(change->packed ? 3 : 2).key(change->packed ? "set" : "delete").text(change->key);
    packer.key("stamp").integer(change->stamp);
    if (change->packed) packer.key("value").raw(*change->packed);
  }
  return Response{200, packer.take(), 0};
}

void StateService::answer_watches() {
  auto waiting = std::move(watches_);
  watches_.clear();
  for (auto& watch : waiting) {
    if (refused[watch.node] || cut[watch.node]) {
      if (run_.now() < watch.until)
        watches_.push_back(std::move(watch));
      else
        watch.respond({503, {}, 0});
      continue;
    }
    if (auto response = changes(watch.prefix, watch.since, run_.now() >= watch.until)) {
      watch.respond(std::move(*response));
    } else {
      watches_.push_back(std::move(watch));
    }
  }
}

// --- proxy ---------------------------------------------------------------------------------------

struct Proxy::Link : std::enable_shared_from_this<Proxy::Link> {
  Link(asio::io_context& io, asio::ip::tcp::socket accepted, Proxy& owner)
      : in(std::move(accepted)), out(io), proxy(owner) {}
  void start() {
    out.async_connect(parse_endpoint("127.0.0.1:" + std::to_string(proxy.target_)),
                      [self = shared_from_this()](asio::error_code error) {
                        if (error) return self->reset();
                        self->pump(self->in, self->out, self->forward, false);
                        self->pump(self->out, self->in, self->backward, true);
                      });
  }
  void pump(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to, std::array<char, 8192>& buffer,
            bool back) {
    from.async_read_some(asio::buffer(buffer), [self = shared_from_this(), &from, &to, &buffer,
                                                back](asio::error_code error, std::size_t size) {
      self->deliver(from, to, buffer, back, error, size);
    });
  }
  void deliver(asio::ip::tcp::socket& from, asio::ip::tcp::socket& to,
               std::array<char, 8192>& buffer, bool back, asio::error_code error,
               std::size_t size) {
    if (proxy.mode_ == Mode::held) {
      return proxy.run_.after(0.02, [self = shared_from_this(), &from, &to, &buffer, back, error,
                                     size] { self->deliver(from, to, buffer, back, error, size); });
    }
    if (error) return reset();
    asio::async_write(to, asio::buffer(buffer.data(), size),
                      [self = shared_from_this(), &from, &to, &buffer, back](
                          asio::error_code failure, std::size_t) {
                        if (failure) return self->reset();
                        self->pump(from, to, buffer, back);
                      });
  }
  void reset() {
    asio::error_code ignored;
    in.close(ignored);
    out.close(ignored);
  }
  asio::ip::tcp::socket in, out;
  Proxy& proxy;
  std::array<char, 8192> forward{}, backward{};
};

Proxy::Proxy(Run& run, std::uint16_t target)
    : run_(run), acceptor_(run.io, parse_endpoint("127.0.0.1:0")), target_(target) {
  accept();
}

void Proxy::accept() {
  acceptor_.async_accept([this](asio::error_code error, asio::ip::tcp::socket socket) {
    if (error) return;
    if (mode_ != Mode::reset) {
      auto link = std::make_shared<Link>(run_.io, std::move(socket), *this);
      links_.push_back(link);
      link->start();
    }
    accept();
  });
}

void Proxy::set(Mode mode) {
  mode_ = mode;
  if (mode != Mode::reset) return;
  for (auto& weak : links_) {
    if (auto link = weak.lock()) link->reset();
  }
  links_.clear();
}

// --- cloud ---------------------------------------------------------------------------------------

Cloud::Cloud(Run& run, Flavor flavor) : run_(run), flavor_(std::move(flavor)) {
  for (std::size_t node = 0; node < 3; ++node) {
    servers_.push_back(std::make_unique<HttpServer>(
        run.io, parse_endpoint("127.0.0.1:0"), ServerLimits{256, kBody, 256},
        [this, node](const Request& request, const Responder& respond) {
          handle(node, request, respond);
        }));
  }
}

void Cloud::handle(std::size_t node, const Request& request, const Responder& respond) {
  wire::Packer packer;
  if (request.path == "/flavors") {
    packer.map(1).key("builds").list(1).map(10).key("name").text(flavor_.name);
    packer.key("cores").number(flavor_.cores).key("cards").number(flavor_.cards);
    packer.key("ram_gb").number(flavor_.ram_gb).key("local_gb").number(flavor_.local_gb);
    packer.key("fetch_gb_per_s").number(flavor_.fetch_gb_per_s);
    packer.key("price").number(flavor_.price).key("low_price").number(flavor_.low_price);
    packer.key("ready_s").number(flavor_.ready_s).key("yards").texts(flavor_.yards);
    return respond({200, packer.take(), 0});
  }
  if (request.method == "GET") {
    const auto since = parameter(request.path, "since");
    std::vector<const Host*> found;
    for (const auto& [name, host] : hosts) {
      if (name > since && found.size() < 500) found.push_back(&host);
    }
    packer.map(2).key("truncated").flag(false).key("hosts").list(found.size());
    for (const auto* host : found) {
      packer.map(7).key("uid").text(host->name).key("addr").text(host->addr);
      packer.key("build").text(host->build).key("yard").text(host->yard);
      packer.key("loaners").flag(host->loaners).key("status").text(host->status);
      packer.key("held_s").number(run_.now() - host->hired_at);
    }
    return respond({200, packer.take(), 0});
  }
  const auto document = wire::Document::parse(request.body);
  const auto fields = document.fields();
  if (request.path == "/hosts/release") {
    for (const auto& name : wire::texts(fields.find("hosts"), "hosts")) {
      if (!hosts.contains(name)) continue;
      run_.note("cloud: controller " + std::to_string(node) + " releases " + name);
      releasing(node, name);
      released(name);
      hosts.erase(name);
    }
    packer.map(0);
    return respond({200, packer.take(), 0});
  }
  const auto hire = fields.text("hire");
  const auto known = hires_.find(hire);
  if (known == hires_.end()) {
    const auto yard = fields.text("yard");
    const bool loaners = fields.flag_or("loaners", false);
    auto& left = capacity[{yard, loaners}];
    const int count = std::min<int>(left, static_cast<int>(fields.integer("count")));
    if (count == 0) return respond(error_answer(503, "no capacity"));
    left -= count;
    std::vector<std::string> names;
    for (int i = 0; i < count; ++i) {
      char name[32];
      std::snprintf(name, sizeof name, "host-%06d", next_host_++);
      auto& host = hosts[name];
      host = {name,         "127.0.0.1:" + std::to_string(free_port()),
              flavor_.name, yard,
              "booting",    loaners,
              run_.now()};
      run_.note("cloud: " + hire + " rents " + host.name + " in " + yard +
                (loaners ? " (spot)" : ""));
      names.push_back(name);
      hired(host);
    }
    hires_[hire] = names;
  }
  packer.map(1).key("hosts").texts(hires_[hire]);
  respond({200, packer.take(), 0});
}

// --- controllers
// -----------------------------------------------------------------------------------

Controllers::Controllers(Run& run, std::string program, std::string folder, const Site& site,
                         const StateService& state, const Cloud& cloud)
    : run_(run), program_(std::move(program)) {
  for (std::size_t i = 0; i < kCount; ++i) {
    Node node;
    node.name = "stallhost-" + std::to_string(i);
    node.zone = site.zones[i % site.zones.size()];
    node.api = free_port();
    node.mesh = free_port();
    node.settings = folder + "/" + node.name + ".toml";
    node.log = folder + "/" + node.name + ".log";
    nodes_.push_back(node);
  }
  const auto address = [](std::uint16_t port) {
    return "\"127.0.0.1:" + std::to_string(port) + "\"\n";
  };
  for (std::size_t from = 0; from < kCount; ++from) {
    for (std::size_t to = 0; to < kCount; ++to) {
      if (from != to) links_[{from, to}] = std::make_unique<Proxy>(run, nodes_[to].mesh);
    }
  }
  for (std::size_t index = 0; index < kCount; ++index) {
    const auto& node = nodes_[index];
    std::ofstream out(node.settings);
    out << "node_name = \"" << node.name << "\"\narea = \"" << node.zone << "\"\n";
    out << "api_addr = " << address(node.api) << "mesh_addr = " << address(node.mesh);
    for (std::size_t other = 0; other < kCount; ++other) {
      if (other == index) continue;
      out << "[[known]]\nnode_name = \"" << nodes_[other].name << "\"\narea = \""
          << nodes_[other].zone << "\"\nendpoint = " << address(link(index, other).port());
    }
    out << "[endpoints]\ncloud = " << address(cloud.port(index))
        << "state = " << address(state.port(index));
    out << "[deployment]\ninitial_size = 3\nzones = [";
    for (std::size_t i = 0; i < site.zones.size(); ++i)
      out << (i > 0 ? ", " : "") << '"' << site.zones[i] << '"';
    out << "]\nskew_ms = 100.0\n" << site.teams;
    out << "[deployment.workers]\nreport_s = " << site.report_s << "\nlease_s = " << site.lease_s
        << "\ngang_wait_s = 30.0\ngang_peer_s = 8.0\ncancel_s = " << site.cancel_s << "\n";
    out << "[deployment.state]\nrps = " << site.rps << "\nwrite_rps = " << site.write_rps
        << "\nvalue_kb = " << site.value_kb << "\ntxn_ops = " << site.txn_ops << "\n";
    out << "[deployment.cloud]\nrps = " << site.cloud_rps << "\nlist_lag_s = " << site.list_lag_s
        << "\n[deployment.quota]\ncores = " << site.cores << "\nmemory_mb = " << site.memory_mb
        << "\nfd_limit = " << site.fd_limit << "\n";
  }
}

Controllers::~Controllers() {
  for (auto& node : nodes_) {
    if (node.pid <= 0) continue;
    ::kill(node.pid, SIGKILL);
    ::waitpid(node.pid, nullptr, 0);
  }
}

void Controllers::start(std::size_t index) {
  auto& node = nodes_[index];
  const pid_t parent = ::getpid();
  const pid_t pid = ::fork();
  if (pid < 0) throw std::runtime_error("cannot start a controller");
  if (pid == 0) {
    // The controller ends with this program, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) ::_exit(1);
    const int log = ::open(node.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (log >= 0) ::dup2(log, 2);
    for (int other = 3; other < 4096; ++other) ::close(other);
    ::execl(program_.c_str(), program_.c_str(), "--config", node.settings.c_str(),
            static_cast<char*>(nullptr));
    ::_exit(127);
  }
  node.pid = pid;
  run_.note(node.name + ": process started");
}

void Controllers::signal(std::size_t index, int number) {
  auto& node = nodes_[index];
  if (node.pid <= 0) return;
  ::kill(node.pid, number);
  run_.note(node.name + ": signal " + std::to_string(number));
  if (number != SIGKILL) return;
  ::waitpid(node.pid, nullptr, 0);
  node.pid = 0;
}

bool Controllers::alive(std::size_t index) {
  auto& node = nodes_[index];
  if (node.pid <= 0) return false;
  int status = 0;
  if (::waitpid(node.pid, &status, WNOHANG) == 0) return true;
  run_.note(node.name + ": process ended by itself, wait status " + std::to_string(status));
  node.pid = 0;
  return false;
}

double Controllers::memory_mb(std::size_t index) const {
  if (nodes_[index].pid <= 0) return 0;
  std::ifstream in("/proc/" + std::to_string(nodes_[index].pid) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.rfind("VmRSS:", 0) == 0) return std::atof(line.c_str() + 6) / 1024;
  }
  return 0;
}

// --- users
// -----------------------------------------------------------------------------------------

void send(Run& run, std::uint16_t port, const std::string& method, const std::string& path,
          const std::string& body, double timeout_s, std::function<void(int, std::string)> done) {
  auto client = std::make_shared<elmstall::net::HttpClient>(
      run.io, parse_endpoint("127.0.0.1:" + std::to_string(port)), 1);
  auto* const raw = client.get();
  raw->request(method, path, body, timeout_s,
               [&run, client, done = std::move(done)](const elmstall::net::Reply& reply) {
                 done(reply.status, reply.body);
                 run.after(0, [client] {});  // destroyed outside its own callback
               });
}

std::string pack(const JobForm& job) {
  wire::Packer packer;
  packer.map(18).key("uid").text(job.uid).key("lane").text(job.lane).key("owner").text(job.owner);
  packer.key("shape").text(job.shape).key("rank").text(job.rank).key("shards").integer(job.shards);
  packer.key("cores").number(job.cores).key("cards").number(job.cards);
  packer.key("ram_gb").number(job.ram_gb).key("bundle").text("img-01");
  packer.key("pull_gb").number(job.pull_gb).key("together").flag(job.together);
  packer.key("scatter").flag(job.scatter).key("loaners").flag(job.loaners);
  packer.key("builds");
  if (job.builds) {
    packer.texts(*job.builds);
  } else {
    packer.null();
  }
  packer.key("expect_s").number(job.expect_s);
  packer.key("mark_every_s").number(0).key("mark_s").number(0);
  return packer.take();
}

std::string status_of(const std::string& body) {
  try {
    return wire::Document::parse(body).fields().maybe_text("status").value_or("");
  } catch (const wire::DecodeError&) {
    return {};
  }
}

}  // namespace review
