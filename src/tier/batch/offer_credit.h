// How many items one store may hand to this proxy until the next offer. Pure.
//
// Many proxies and stores share the endpoints' room, and no store knows what the others hand out.
// So each store starts with a few items; the number doubles while the store uses all of it and
// halves while it uses none.
#ifndef SHELFLINK_TIER_BATCH_OFFER_CREDIT_H_
#define SHELFLINK_TIER_BATCH_OFFER_CREDIT_H_

#include <algorithm>
#include <cstdint>

namespace shelflink::batch {

class OfferCredit {
 public:
  static constexpr std::uint32_t kLeast = 2;
  static constexpr std::uint32_t kFirst = 4;
  static constexpr std::uint32_t kMost = 64;

  // Adapts to how the last grant was used, and gives a new one of at most `room`.
  std::uint32_t Grant(std::uint32_t room) {
    if (granted_ != 0 && left_ == 0) {
      wish_ = std::min(wish_ * 2, kMost);
    } else if (granted_ != 0 && left_ == granted_) {
      wish_ = std::max(wish_ / 2, kLeast);
    }
    granted_ = std::min(wish_, room);
    left_ = granted_;
    return granted_;
  }
  // The store has handed out an item.
  void OnAssigned() {
    if (left_ != 0) --left_;
  }

  std::uint32_t left() const { return left_; }
  std::uint32_t granted() const { return granted_; }
  bool used_up() const { return granted_ != 0 && left_ == 0; }

 private:
  std::uint32_t wish_ = kFirst;
  std::uint32_t granted_ = 0;
  std::uint32_t left_ = 0;
};

}  // namespace shelflink::batch

#endif  // SHELFLINK_TIER_BATCH_OFFER_CREDIT_H_
