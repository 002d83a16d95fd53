#include "overload/memory_budget.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace wingslip {
namespace {

constexpr std::size_t kMiB = std::size_t{1} << 20;
// The program with its libraries (9 MiB resident on a day of 300 gatekeepers) and the module's full table of
// customers (4,096 of 700 bytes).
constexpr std::size_t kProcess = 12 * kMiB;
constexpr std::size_t kFiles = 2 * kMiB;    // the list of exclusions, 1 MiB at most, and its copy aside
constexpr std::size_t kLeastBudget = kMiB;  // less than a hundred idle connections
constexpr double kUsable = 0.75;            // the rest: what allocator and kernel add to what is asked for
constexpr std::size_t kOperators = 192 * 1024;  // 16 callers with their answers

}  // namespace

MemoryBudget::Charge::Charge(Charge&& other) noexcept
    : ledger_(other.ledger_),
      account_(other.account_),
      bytes_(std::exchange(other.bytes_, 0)),
      fixed_(std::exchange(other.fixed_, 0)) {}

MemoryBudget::Charge& MemoryBudget::Charge::operator=(Charge&& other) noexcept {
  if (this == &other) return *this;
  release();
  ledger_ = other.ledger_;
  account_ = other.account_;
  bytes_ = std::exchange(other.bytes_, 0);
  fixed_ = std::exchange(other.fixed_, 0);
  return *this;
}

bool MemoryBudget::Charge::resize(std::size_t bytes) {
  if (bytes <= bytes_) {
    shrinkTo(bytes);
    return true;
  }
  if (!ledger_ || !ledger_->grow(account_, bytes - bytes_)) return false;
  bytes_ = bytes;
  return true;
}

void MemoryBudget::Charge::shrinkTo(std::size_t bytes) {
  if (bytes >= bytes_) return;
  if (bytes < fixed_) {
    ledger_->accounts_[index(account_)].fixed -= fixed_ - bytes;
    fixed_ = bytes;
  }
  ledger_->shrink(account_, bytes_ - bytes);
  bytes_ = bytes;
}

void MemoryBudget::Charge::fix() {
  if (!ledger_) return;
  ledger_->accounts_[index(account_)].fixed += bytes_ - fixed_;
  fixed_ = bytes_;
}

MemoryBudget::Charge MemoryBudget::Charge::split(std::size_t bytes) {
  Charge out(ledger_, account_);
  out.bytes_ = std::min(bytes, bytes_ - fixed_);
  bytes_ -= out.bytes_;
  return out;
}

MemoryBudget::MemoryBudget(const Shares& shares) : shares_(shares) {
  std::size_t kept = 0;
  for (const std::size_t part : shares.kept) kept += part;
  if (kept > shares.total) throw std::invalid_argument("ledger: more is kept apart than there is");
}

std::size_t MemoryBudget::unused(std::size_t account) const {
  return shares_.kept[account] - std::min(shares_.kept[account], accounts_[account].held);
}

std::size_t MemoryBudget::room(Account account) const {
  std::size_t apart = 0;
  for (std::size_t other = 0; other < kAccounts; ++other)
    if (other != index(account)) apart += unused(other);
  return shares_.total - held_ - apart;  // never below 0: every growth leaves the others their part
}

bool MemoryBudget::grow(Account account, std::size_t by) {
  if (by > room(account)) {
    ++accounts_[index(account)].refused;
    return false;
  }
  accounts_[index(account)].held += by;
  held_ += by;
  most_ = std::max(most_, held_);
  if (!over_ && crossed_ && fullest().part() >= high_) {
    over_ = true;
    crossed_();
  }
  return true;
}

void MemoryBudget::shrink(Account account, std::size_t by) {
  accounts_[index(account)].held -= by;
  held_ -= by;
  if (over_ && fullest().part() <= low_) {
    over_ = false;
    if (crossed_) crossed_();
  }
  if (freed_) freed_();
}

MemoryBudget::Fill MemoryBudget::fill(Account account) const {
  const std::size_t varies = held(account) - accounts_[index(account)].fixed;
  return {varies, varies + room(account)};
}

bool MemoryBudget::staysUnder(double mark, Account account, std::size_t more) const {
  const Fill now = fill(account);
  return static_cast<double>(now.held + more) <= mark * static_cast<double>(now.reach);
}

MemoryBudget::Fill MemoryBudget::fullest() const {
  Fill out;
  for (const Account account : {Account::clients, Account::workers}) {
    const Fill one = fill(account);
    if (one.part() >= out.part()) out = one;
  }
  return out;
}

void MemoryBudget::watch(double low, double high, std::function<void()> crossed,
                         std::function<void()> freed) {
  low_ = low;
  high_ = high;
  crossed_ = std::move(crossed);
  freed_ = std::move(freed);
}

std::size_t leastLimit(bool twoProcesses, bool files) {
  const std::size_t each = kProcess + static_cast<std::size_t>(kLeastBudget / kUsable);
  return each * (twoProcesses ? 2 : 1) + (files ? kFiles : 0);
}

MemoryBudget::Shares sharesOf(const Room& room) {
  MemoryBudget::Shares out;
  if (room.limit < leastLimit(room.twoProcesses, room.files)) return out;
  std::size_t mine = room.limit - (room.files ? kFiles : 0);
  if (room.twoProcesses) mine /= 2;
  out.total = static_cast<std::size_t>(kUsable * static_cast<double>(mine - kProcess));
  const std::size_t rest = out.total - std::min(out.total / 4, kOperators);
  const auto part = [&](Account account) -> std::size_t& {
    return out.kept[static_cast<std::size_t>(account)];
  };
  part(Account::operators) = out.total - rest;
  part(Account::clients) = part(Account::workers) = rest / 4;
  part(Account::discovery) = rest / 8;
  return out;
}

}  // namespace wingslip
