// One controller: the owner of all state of its process.
#pragma once

#include <memory>

#include "config/constants.hpp"
#include "engine/caretaker.hpp"
#include "engine/gateway.hpp"
#include "engine/leader.hpp"
#include "mesh/mesh.hpp"

namespace elmstall::engine {

class Node {
 public:
  struct Ports {
    Runtime& runtime;
    ledger::Store& store;
    fleet::Cloud& cloud;
    fleet::Workers& workers;
  };

  /// `incarnation`: differs from that of every earlier process of this node.
  Node(const config::Settings& settings, Ports ports, std::string incarnation);

  /// The mesh hands its messages to `on_message`, so it is made after the node.
  void start(mesh::Mesh& mesh);
  void on_request(net::Request request, net::Responder respond);
  void on_message(mesh::Message message);

  [[nodiscard]] bool ready() const;
  [[nodiscard]] Leader* leader() { return leader_.get(); }
  [[nodiscard]] const ledger::Mirror& mirror() const { return mirror_; }

 private:
  struct Peer {
    double heard = -1e18;
    bool state_reachable = true;
    bool leader_heard = true;
    Word word;
  };
  struct Forwarded {
    Caretaker::Waiting waiting;
    std::string leader;
  };
  /// One attempt to be elected. Its transaction may be applied long after it
  /// was given up, so each has its own lease, time and name.
  struct Candidacy {
    std::string name;
    std::uint64_t lease = 0;
    double sent = 0;
  };
  struct Redirect {
    std::string node;
    double at = -1e18;
  };

  void handle(const net::Request& request, net::Responder respond);
  void on_report(const std::string& body, net::Responder respond, bool forwarded);
  /// Sends the worker to a node of its zone, if it should go there.
  bool send_home(const wire::Report& report, const net::Responder& respond);
  void pass_on(Caretaker::Waiting waiting);
  /// For a report that has waited: the leader answers it if that is this node
  /// by now.
  void serve(Caretaker::Waiting waiting);
  void tend_forwarded();
  [[nodiscard]] bool heard(const std::string& peer) const;
  [[nodiscard]] bool leader_heard() const;
  /// Every controller is heard, and the state service answers none of them.
  [[nodiscard]] bool common_outage() const;
  [[nodiscard]] Caretaker::View view() const;
  void tick();
  void after_batch();

  // mirror
  void load(const std::string& since);
  void watch();
  void changed(const std::vector<ledger::Key>& keys);

  // machine types
  void fetch_types();
  void use_types(std::vector<wire::Flavor> flavors);

  // leadership
  [[nodiscard]] bool leadership_open() const;
  /// The candidacy that the records show as won, if it is ours to act on.
  [[nodiscard]] std::optional<Candidacy> won() const;
  void elect();
  void stand();
  void campaign(std::uint64_t lease);
  /// Unless elected by then: another try is allowed after so many seconds.
  void stand_down(double after_s);
  void win(const Candidacy& candidacy);
  void lose(const char* why);
  void renew();
  void learn_term(std::uint64_t term, const std::string& leader);

  // mesh
  void beat();
  void on_beat(const mesh::Beat& beat);
  /// A cancellation was recorded here: the leader hears of it at once.
  void spread_cancelled(const std::string& job);
  void on_cancelled(const std::string& job);
  /// The state service answered within this many seconds.
  [[nodiscard]] bool state_reachable(double within_s = constants::kUnreadyAfter) const;

  const config::Settings& settings_;
  Runtime& runtime_;
  ledger::Store& store_;
  fleet::Cloud& cloud_;
  fleet::Workers& workers_;
  mesh::Mesh* mesh_ = nullptr;
  std::string incarnation_;
  CommandQueue queue_;
  CommandScope scope_;
  ledger::Mirror mirror_;
  Proof proof_;
  Gateway gateway_;
  Caretaker caretaker_;
  std::unique_ptr<Leader> leader_;
  std::vector<wire::Flavor> flavors_;
  bool types_recorded_ = false;

  std::uint64_t known_term_ = 0;  ///< highest heard of, from records or peers
  std::string known_leader_;
  bool standing_ = false;
  std::vector<Candidacy> candidacies_;  ///< that may still win, latest last
  std::uint64_t next_candidacy_ = 1;
  bool refused_layout_ = false;  ///< said so
  double stand_at_ = -1;
  std::uint64_t lease_ = 0;  ///< that `lead` hangs on
  double next_renew_ = 0;
  double next_beat_ = 0;
  bool told_leader_heard_ = true;  ///< in the last beat
  double next_probe_ = 0;
  std::map<std::string, Peer> peers_;
  std::map<std::uint64_t, Forwarded> forwarded_;
  std::map<std::string, Redirect> redirects_;
  std::uint64_t next_forward_ = 1;
};

}  // namespace elmstall::engine
