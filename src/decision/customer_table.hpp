/// Table of customers by identifier with eviction in least-recently-used order.
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>

#include "decision/customer.hpp"

namespace wingslip::decision {

/// Owns the customers. A reference to a customer is valid until the customer is erased.
class CustomerTable {
 public:
  /// Maximum number of customers. It bounds the memory that customers with only one request take.
  static constexpr std::size_t kMaxCustomers = 4096;
  /// Number of least recently used customers searched for one that can be evicted without loss of state.
  static constexpr std::size_t kEvictionScan = 32;

  std::size_t size() const { return index_.size(); }
  bool isFull() const { return index_.size() >= kMaxCustomers; }

  /// Returns null if the customer is not in the table.
  Customer* find(CustomerId id) {
    const auto found = index_.find(id);
    return found == index_.end() ? nullptr : &*found->second;
  }

  /// Like `find`, and marks the customer as the most recently used.
  Customer* findAndTouch(CustomerId id) {
    const auto found = index_.find(id);
    if (found == index_.end()) return nullptr;
    customers_.splice(customers_.end(), customers_, found->second);
    return &*found->second;
  }

  /// Adds a customer as the most recently used.
  Customer& add(CustomerId id) {
    customers_.emplace_back();
    index_[id] = std::prev(customers_.end());
    customers_.back().id = id;
    return customers_.back();
  }

  /// Evicts the first of the kEvictionScan least recently used customers for which `canEvictWithoutLoss` is
  /// true, or else the least recently used one. A stream of customers with one request each thus does not let
  /// heavy customers return with full buckets. `beforeErase` is called with the customer before it is erased.
  template <class CanEvictWithoutLoss, class BeforeErase>
  void evictOne(CanEvictWithoutLoss canEvictWithoutLoss, BeforeErase beforeErase) {
    auto evicted = customers_.begin();
    std::size_t scanned = 0;
    for (auto it = customers_.begin(); it != customers_.end() && scanned < kEvictionScan; ++it, ++scanned) {
      if (!canEvictWithoutLoss(*it)) continue;
      evicted = it;
      break;
    }
    beforeErase(*evicted);
    index_.erase(evicted->id);
    customers_.erase(evicted);
  }

  /// Erases all customers for which `mustErase` is true, starting with the least recently used.
  template <class MustErase>
  void eraseIf(MustErase mustErase) {
    for (auto it = customers_.begin(); it != customers_.end();) {
      if (!mustErase(*it)) {
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
