/// Customers by identifier, in the order of their last use, up to a fixed number.
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>

#include "decision/customer.hpp"

namespace wingslip::decision {

/// Owns the customers. A reference to one holds until it is erased.
class CustomerTable {
 public:
  /// Bounds the memory that one-off customers can make the gateway use.
  static constexpr std::size_t kMaxCustomers = 4096;
  /// Least recently used customers that are looked at for one that loses nothing by eviction.
  static constexpr std::size_t kEvictionScan = 32;

  std::size_t size() const { return index_.size(); }
  bool isFull() const { return index_.size() >= kMaxCustomers; }

  /// Null where the customer is not in the table.
  Customer* find(CustomerId id) {
    const auto found = index_.find(id);
    return found == index_.end() ? nullptr : &*found->second;
  }

  /// As `find`, and makes it the most recently used.
  Customer* findAndTouch(CustomerId id) {
    const auto found = index_.find(id);
    if (found == index_.end()) return nullptr;
    customers_.splice(customers_.end(), customers_, found->second);
    return &*found->second;
  }

  /// A new customer, as the most recently used.
  Customer& add(CustomerId id) {
    customers_.emplace_back();
    index_[id] = std::prev(customers_.end());
    customers_.back().id = id;
    return customers_.back();
  }

  /// Evicts the first of the oldest customers for which `losesNothing` holds, else the oldest one, so that a
  /// stream of one-off customers does not bring heavy ones back with full buckets. `beforeErase` sees it.
  template <class LosesNothing, class BeforeErase>
  void evictOne(LosesNothing losesNothing, BeforeErase beforeErase) {
    auto victim = customers_.begin();
    std::size_t scanned = 0;
    for (auto it = customers_.begin(); it != customers_.end() && scanned < kEvictionScan; ++it, ++scanned) {
      if (!losesNothing(*it)) continue;
      victim = it;
      break;
    }
    beforeErase(*victim);
    index_.erase(victim->id);
    customers_.erase(victim);
  }

  /// Erases all customers for which `isDropped` holds, from the least recently used one on.
  template <class IsDropped>
  void eraseIf(IsDropped isDropped) {
    for (auto it = customers_.begin(); it != customers_.end();) {
      if (!isDropped(*it)) {
        ++it;
        continue;
      }
      index_.erase(it->id);
      it = customers_.erase(it);
    }
  }

 private:
  std::list<Customer> customers_;  // least recently used first
  std::unordered_map<CustomerId, std::list<Customer>::iterator> index_;
};

}  // namespace wingslip::decision
