// Implementation of the memory budget and of the division of the memory limit.
#include "overload/memory_budget.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace wingslip {
namespace {

constexpr std::size_t kMiB = std::size_t{1} << 20;
// The program and its libraries take 9 MiB, and the decision module's full customer table takes 3 MiB.
constexpr std::size_t kProcessBytes = 12 * kMiB;
// The exclusions file, at most 1 MiB, and its temporary copy.
constexpr std::size_t kStateFileBytes = 2 * kMiB;
constexpr std::size_t kMinBudgetBytes = kMiB;       // holds fewer than 100 idle connections
constexpr double kUsableShare = 0.75;               // allocator and kernel overhead take the remainder
constexpr std::size_t kOperatorBytes = 192 * 1024;  // 16 operator connections with their responses

}  // namespace

MemoryBudget::Charge::Charge(Charge&& other) noexcept
    : budget_(other.budget_),
      account_(other.account_),
      bytes_(std::exchange(other.bytes_, 0)),
      permanent_(std::exchange(other.permanent_, 0)) {}

MemoryBudget::Charge& MemoryBudget::Charge::operator=(Charge&& other) noexcept {
  if (this == &other) return *this;
  release();
  budget_ = other.budget_;
  account_ = other.account_;
  bytes_ = std::exchange(other.bytes_, 0);
  permanent_ = std::exchange(other.permanent_, 0);
  return *this;
}

bool MemoryBudget::Charge::resize(std::size_t bytes) {
  if (bytes <= bytes_) {
    shrinkTo(bytes);
    return true;
  }
  if (!budget_ || !budget_->grow(account_, bytes - bytes_)) return false;
  bytes_ = bytes;
  return true;
}

void MemoryBudget::Charge::shrinkTo(std::size_t bytes) {
  if (bytes >= bytes_) return;
  if (bytes < permanent_) {
    budget_->accounts_[index(account_)].permanent -= permanent_ - bytes;
    permanent_ = bytes;
  }
  budget_->shrink(account_, bytes_ - bytes);
  bytes_ = bytes;
}

void MemoryBudget::Charge::markPermanent() {
  if (!budget_) return;
  budget_->accounts_[index(account_)].permanent += bytes_ - permanent_;
  permanent_ = bytes_;
}

MemoryBudget::Charge MemoryBudget::Charge::split(std::size_t bytes) {
  Charge part(budget_, account_);
  part.bytes_ = std::min(bytes, bytes_ - permanent_);
  bytes_ -= part.bytes_;
  return part;
}

MemoryBudget::MemoryBudget(const Shares& shares) : shares_(shares) {
  std::size_t reserved = 0;
  for (const std::size_t bytes : shares.reserved) reserved += bytes;
  if (reserved > shares.total) throw std::invalid_argument("memory budget: the reserves exceed the total");
}

std::size_t MemoryBudget::unusedReserve(std::size_t account) const {
  return shares_.reserved[account] - std::min(shares_.reserved[account], accounts_[account].used);
}

std::size_t MemoryBudget::available(Account account) const {
  std::size_t reservedForOthers = 0;
  for (std::size_t other = 0; other < kAccounts; ++other)
    if (other != index(account)) reservedForOthers += unusedReserve(other);
  // Not below 0: no account can grow into the reserve of another.
  return shares_.total - used_ - reservedForOthers;
}

bool MemoryBudget::grow(Account account, std::size_t bytes) {
  if (bytes > available(account)) {
    ++accounts_[index(account)].refusals;
    return false;
  }
  accounts_[index(account)].used += bytes;
  used_ += bytes;
  peak_ = std::max(peak_, used_);
  if (!aboveMark_ && onMarkCrossed_ && highestUsage().share() >= highMark_) {
    aboveMark_ = true;
    onMarkCrossed_();
  }
  return true;
}

void MemoryBudget::shrink(Account account, std::size_t bytes) {
  accounts_[index(account)].used -= bytes;
  used_ -= bytes;
  if (aboveMark_ && highestUsage().share() <= lowMark_) {
    aboveMark_ = false;
    if (onMarkCrossed_) onMarkCrossed_();
  }
  if (onFreed_) onFreed_();
}

MemoryBudget::Usage MemoryBudget::usage(Account account) const {
  const std::size_t temporary = used(account) - accounts_[index(account)].permanent;
  return {temporary, temporary + available(account)};
}

bool MemoryBudget::wouldStayWithin(double mark, Account account, std::size_t bytes) const {
  const Usage now = usage(account);
  return static_cast<double>(now.used + bytes) <= mark * static_cast<double>(now.limit);
}

MemoryBudget::Usage MemoryBudget::highestUsage() const {
  Usage highest;
  for (const Account account : {Account::clients, Account::workers}) {
    const Usage current = usage(account);
    if (current.share() >= highest.share()) highest = current;
  }
  return highest;
}

void MemoryBudget::setCallbacks(double lowMark, double highMark, std::function<void()> onMarkCrossed,
                                std::function<void()> onFreed) {
  lowMark_ = lowMark;
  highMark_ = highMark;
  onMarkCrossed_ = std::move(onMarkCrossed);
  onFreed_ = std::move(onFreed);
}

std::size_t minMemoryLimit(bool twoProcesses, bool stateFiles) {
  const std::size_t perProcess = kProcessBytes + static_cast<std::size_t>(kMinBudgetBytes / kUsableShare);
  return perProcess * (twoProcesses ? 2 : 1) + (stateFiles ? kStateFileBytes : 0);
}

MemoryBudget::Shares budgetSharesFor(const MemoryLimit& limit) {
  MemoryBudget::Shares shares;
  if (limit.bytes < minMemoryLimit(limit.twoProcesses, limit.stateFiles)) return shares;
  std::size_t processLimit = limit.bytes - (limit.stateFiles ? kStateFileBytes : 0);
  if (limit.twoProcesses) processLimit /= 2;
  shares.total = static_cast<std::size_t>(kUsableShare * static_cast<double>(processLimit - kProcessBytes));
  const std::size_t operatorBytes = std::min(shares.total / 4, kOperatorBytes);
  const std::size_t sharedBytes = shares.total - operatorBytes;
  const auto reserve = [&](Account account, std::size_t bytes) {
    shares.reserved[static_cast<std::size_t>(account)] = bytes;
  };
  reserve(Account::operators, operatorBytes);
  reserve(Account::clients, sharedBytes / 4);
  reserve(Account::workers, sharedBytes / 4);
  reserve(Account::discovery, sharedBytes / 8);
  return shares;
}

}  // namespace wingslip
