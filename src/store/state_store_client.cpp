#include "store/state_store_client.hpp"

#include <algorithm>

#include "config/constants.hpp"

namespace elmstall::store {
namespace {

/// Answers are decoded where they arrive; one that can't be read counts as
/// no answer.
template <typename Result, typename Fill>
Result decode(const net::Reply& reply, Outcome outcome, Fill&& fill) {
  Result result;
  result.outcome = outcome;
  if (outcome != Outcome::ok && outcome != Outcome::conflict && outcome != Outcome::missing)
    return result;
  try {
    const auto document = wire::Document::parse(reply.body);
    fill(result, document);
  } catch (const wire::DecodeError&) {
    result.outcome = Outcome::unknown;
  }
  return result;
}

}  // namespace

void StateStoreClient::Bucket::refill(double elapsed_s) {
  level = std::min(rate, level + elapsed_s * rate);
}

StateStoreClient::StateStoreClient(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint,
                                   RateShare share)
    : client_(io, endpoint, 8),
      watch_client_(io, endpoint, 2),
      timer_(io),
      requests_{share.requests_per_s, share.requests_per_s},
      writes_{share.writes_per_s, share.writes_per_s},
      refilled_(Clock::now()) {}

bool StateStoreClient::affordable(const Job& job) const {
  // A transaction larger than a second's worth may only ask for a full bucket.
  return requests_.level >= 1 && writes_.level >= std::min(job.writes, writes_.rate);
}

void StateStoreClient::submit(Job job) {
  job.deadline =
      Clock::now() + std::chrono::milliseconds(static_cast<long>(constants::kStateTimeout * 1000));
  queue_.push_back(std::move(job));
  pump();
}

void StateStoreClient::pump() {
  const auto now = Clock::now();
  const double elapsed = std::chrono::duration<double>(now - refilled_).count();
  refilled_ = now;
  requests_.refill(elapsed);
  writes_.refill(elapsed);
  // In order; but reads don't wait behind a write that the rate holds back.
  bool writes_wait = false;
  for (std::size_t left = queue_.size(); left > 0; --left) {
    auto job = std::move(queue_.front());
    queue_.pop_front();
    if (job.deadline <= now) {
      job.give_up();
    } else if (!affordable(job) || (writes_wait && job.writes > 0)) {
      writes_wait = writes_wait || job.writes > 0;
      queue_.push_back(std::move(job));  // round to where it was
    } else {
      requests_.level -= 1;
      writes_.level -= job.writes;
      job.send();
    }
  }
  if (armed_ || queue_.empty()) return;
  armed_ = true;
  timer_.expires_after(std::chrono::milliseconds(20));
  timer_.async_wait([this](asio::error_code error) {
    if (error) return;
    armed_ = false;
    pump();
  });
}

Outcome StateStoreClient::outcome_of(const net::Reply& reply) {
  switch (reply.status) {
    case 200:
      return Outcome::ok;
    case 404:
      return Outcome::missing;
    case 409:
      return Outcome::conflict;
    case 410:
      return Outcome::compacted;
    case 429:
    case 503:
      return Outcome::unavailable;
    case 400:
      return Outcome::rejected;
    case 0:
      return reply.never_sent ? Outcome::unavailable : Outcome::unknown;
    default:
      return Outcome::unknown;
  }
}

void StateStoreClient::get(const std::string& key, std::function<void(GetResult)> done) {
  auto send = [this, key, done] {
    client_.request(
        "GET", "/kv/" + key, {}, constants::kStateTimeout, [done](const net::Reply& reply) {
          done(decode<GetResult>(
              reply, outcome_of(reply), [](GetResult& result, const wire::Document& document) {
                if (result.outcome == Outcome::ok) {
                  result.entry = wire::decode_entry(document.root());
                } else {
                  result.revision = document.fields().integer_or("ledger_rev", 0);
                }
              }));
        });
  };
  submit({0, {}, std::move(send), [done] { done({Outcome::unavailable, {}, 0}); }});
}

void StateStoreClient::list(const std::string& prefix, const std::string& since,
                            std::function<void(ListResult)> done) {
  std::string path = "/kv?under=" + prefix + "&most=" + std::to_string(constants::kStatePage);
  if (!since.empty()) path += "&since=" + since;
  auto send = [this, path, done] {
    client_.request("GET", path, {}, constants::kStateTimeout * 2, [done](const net::Reply& reply) {
      done(decode<ListResult>(reply, outcome_of(reply),
                              [](ListResult& result, const wire::Document& document) {
                                result.listing = wire::decode_listing(document.root());
                              }));
    });
  };
  submit({0, {}, std::move(send), [done] { done({Outcome::unavailable, {}}); }});
}

void StateStoreClient::watch(const std::string& prefix, std::uint64_t since, double hold_s,
                             std::function<void(WatchResult)> done) {
  const std::string path = "/follow?under=" + prefix + "&since=" + std::to_string(since) +
                           "&hold_ms=" + std::to_string(static_cast<long>(hold_s * 1000));
  auto send = [this, path, hold_s, done] {
    watch_client_.request(
        "GET", path, {}, hold_s + constants::kWatchGrace, [done](const net::Reply& reply) {
          done(decode<WatchResult>(reply, outcome_of(reply),
                                   [](WatchResult& result, const wire::Document& document) {
                                     result.changes = wire::decode_changes(document.root());
                                   }));
        });
  };
  submit({0, {}, std::move(send), [done] { done({Outcome::unavailable, {}}); }});
}

void StateStoreClient::commit(wire::Transaction transaction,
                              std::function<void(CommitResult)> done) {
  const auto writes = static_cast<double>(transaction.writes.size());
  auto send = [this, body = wire::encode_transaction(transaction), done] {
    client_.request(
        "POST", "/commit", body, constants::kStateTimeout, [done](const net::Reply& reply) {
          auto outcome = outcome_of(reply);
          if (outcome == Outcome::rejected && reply.body.find("no such lease") != std::string::npos)
            outcome = Outcome::no_lease;
          done(decode<CommitResult>(
              reply, outcome, [](CommitResult& result, const wire::Document& document) {
                const auto fields = document.fields();
                result.revision = fields.integer_or("ledger_rev", 0);
                const auto [first, last] = wire::elements(fields.find("failed"), "failed");
                for (const auto* item = first; item != last; ++item)
                  result.failed.push_back(wire::as_text(*item, "failed"));
              }));
        });
  };
  submit({writes, {}, std::move(send), [done] { done({Outcome::unavailable, 0, {}}); }});
}

void StateStoreClient::grant(double life_s, std::function<void(GrantResult)> done) {
  wire::Packer body;
  body.map(1).key("life_ms").integer(static_cast<std::uint64_t>(life_s * 1000));
  auto send = [this, text = body.take(), done] {
    client_.request(
        "POST", "/grants", text, constants::kStateTimeout, [done](const net::Reply& reply) {
          done(decode<GrantResult>(reply, outcome_of(reply),
                                   [](GrantResult& result, const wire::Document& document) {
                                     result.lease = document.fields().integer("hold");
                                   }));
        });
  };
  submit({0, {}, std::move(send), [done] { done({Outcome::unavailable, 0}); }});
}

void StateStoreClient::renew(std::uint64_t lease, std::function<void(Outcome)> done) {
  auto send = [this, lease, done] {
    client_.request("POST", "/grants/" + std::to_string(lease) + "/renew", {},
                    constants::kStateTimeout,
                    [done](const net::Reply& reply) { done(outcome_of(reply)); });
  };
  submit({0, {}, std::move(send), [done] { done(Outcome::unavailable); }});
}

}  // namespace elmstall::store
