#include "replication/message.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <tuple>

#include "codec/cbor.hpp"

namespace wingslip::replication {
namespace {

using nlohmann::json;

constexpr const char* kMagic = "burlwind-replica 1 ";

std::string text(const json& j, std::size_t most, const char* what) {
  auto out = j.get<std::string>();
  if (out.size() > most) throw std::runtime_error(std::string("replica: ") + what + " is too long");
  return out;
}

json of(const MemberRow& m) {
  return json::array({m.name, m.address, m.generation, m.incarnation, static_cast<unsigned>(m.health)});
}

MemberRow memberOf(const json& j) {
  MemberRow out{text(j.at(0), Message::kMostName, "a name"), text(j.at(1), Message::kMostName, "an address"),
                j.at(2).get<std::uint64_t>(), j.at(3).get<std::uint64_t>(), Health::alive};
  const auto health = j.at(4).get<unsigned>();
  if (health > static_cast<unsigned>(Health::left)) throw std::runtime_error("replica: no such health");
  if (out.name.empty()) throw std::runtime_error("replica: a member without a name");
  out.health = static_cast<Health>(health);
  return out;
}

json of(const Row& r) {
  return json::array({r.table, r.key, json::binary({r.value.begin(), r.value.end()}), r.stamp.ms,
                      r.stamp.count, r.stamp.origin, r.gone});
}

Row rowOf(const json& j) {
  Row out;
  out.table = text(j.at(0), Message::kMostName, "a table");
  out.key = text(j.at(1), Message::kMostName, "a key");
  const auto& value = j.at(2).get_binary();
  if (value.size() > Message::kMostValue) throw std::runtime_error("replica: a value is too long");
  out.value.assign(value.begin(), value.end());
  out.stamp = {j.at(3).get<std::int64_t>(), j.at(4).get<std::uint32_t>(),
               text(j.at(5), Message::kMostName, "an origin")};
  out.gone = j.at(6).get<bool>();
  if (out.table.empty() || out.stamp.ms < 0) throw std::runtime_error("replica: a row that is none");
  return out;
}

template <class T>
json listOf(const std::vector<T>& items) {
  json out = json::array();
  for (const T& item : items) out.push_back(of(item));
  return out;
}

const json& arrayOf(const json& j, const char* key) {
  const json& out = j.at(key);
  if (!out.is_array() || out.size() > 2 * Message::kMostRows)
    throw std::runtime_error(std::string("replica: ") + key + " is no list");
  return out;
}

std::uint64_t hashOf(const std::string& bytes) { return XXH64(bytes.data(), bytes.size(), 0); }

}  // namespace

Stamp HybridClock::next(std::int64_t now, const std::string& origin) {
  if (now > ms_)
    ms_ = now, count_ = 0;
  else
    ++count_;
  return {ms_, count_, origin};
}

void HybridClock::hear(const Stamp& stamp) {
  if (std::tie(stamp.ms, stamp.count) > std::tie(ms_, count_)) ms_ = stamp.ms, count_ = stamp.count;
}

const char* nameOf(Health health) {
  static constexpr std::array<const char*, 4> kNames{"alive", "suspect", "dead", "left"};
  return kNames[static_cast<std::size_t>(health)];
}

bool newer(const MemberRow& a, const MemberRow& b) {
  return std::tie(a.generation, a.incarnation, a.health, a.address) >
         std::tie(b.generation, b.incarnation, b.health, b.address);
}

std::vector<std::uint8_t> encode(const Message& m) {
  return json::to_cbor(json{{"v", 1},
                            {"fleet", m.fleet},
                            {"kind", static_cast<unsigned>(m.kind)},
                            {"self", of(m.self)},
                            {"target", m.target},
                            {"members", listOf(m.members)},
                            {"rows", listOf(m.rows)},
                            {"digest", m.digest},
                            {"differ", m.differ},
                            {"more", m.more}});
}

Message decode(const std::uint8_t* bytes, std::size_t size) {
  try {
    const json j = parseCbor(bytes, size);
    if (j.at("v").get<int>() != 1) throw std::runtime_error("replica: another version");
    Message out;
    out.fleet = text(j.at("fleet"), Message::kMostName, "a fleet");
    const auto kind = j.at("kind").get<unsigned>();
    if (kind > static_cast<unsigned>(Kind::push)) throw std::runtime_error("replica: no such kind");
    out.kind = static_cast<Kind>(kind);
    out.self = memberOf(j.at("self"));
    out.target = text(j.at("target"), Message::kMostName, "a target");
    for (const json& m : arrayOf(j, "members")) out.members.push_back(memberOf(m));
    for (const json& r : arrayOf(j, "rows")) out.rows.push_back(rowOf(r));
    for (const json& d : arrayOf(j, "digest")) out.digest.push_back(d.get<std::uint64_t>());
    for (const json& d : arrayOf(j, "differ")) out.differ.push_back(d.get<unsigned>());
    out.more = j.at("more").get<bool>();
    return out;
  } catch (const CborError& error) {
    throw std::runtime_error(std::string("replica: ") + error.what());
  } catch (const json::exception& error) {
    throw std::runtime_error(std::string("replica: ") + error.what());
  }
}

std::string encodeSnapshot(const Snapshot& s) {
  const std::vector<std::uint8_t> body = json::to_cbor(json{{"at", s.atMs},
                                                            {"generation", s.generation},
                                                            {"members", listOf(s.members)},
                                                            {"rows", listOf(s.rows)}});
  const std::string bytes(body.begin(), body.end());
  char head[64];
  std::snprintf(head, sizeof head, "%s%016llx %zu\n", kMagic, static_cast<unsigned long long>(hashOf(bytes)),
                bytes.size());
  return head + bytes;
}

Snapshot decodeSnapshot(const std::string& bytes) {
  const auto end = bytes.find('\n');
  if (bytes.rfind(kMagic, 0) != 0 || end == std::string::npos || end > 63)
    throw std::runtime_error("snapshot: not of this version");
  unsigned long long hash = 0;
  std::size_t size = 0;
  if (std::sscanf(bytes.c_str() + std::string(kMagic).size(), "%16llx %zu", &hash, &size) != 2)
    throw std::runtime_error("snapshot: a first line that is none");
  const std::string body = bytes.substr(end + 1);
  if (body.size() != size) throw std::runtime_error("snapshot: cut short or too long");
  if (hashOf(body) != hash) throw std::runtime_error("snapshot: damaged");
  try {
    const json j = parseCbor(reinterpret_cast<const std::uint8_t*>(body.data()), body.size());
    Snapshot out;
    out.atMs = j.at("at").get<std::int64_t>();
    out.generation = j.at("generation").get<std::uint64_t>();
    for (const json& m : arrayOf(j, "members")) out.members.push_back(memberOf(m));
    for (const json& r : arrayOf(j, "rows")) out.rows.push_back(rowOf(r));
    return out;
  } catch (const CborError& error) {
    throw std::runtime_error(std::string("snapshot: ") + error.what());
  } catch (const json::exception& error) {
    throw std::runtime_error(std::string("snapshot: ") + error.what());
  }
}

}  // namespace wingslip::replication
