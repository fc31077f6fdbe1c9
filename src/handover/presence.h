// Whether another process of the same sidecar runs beside this one, as during an upgrade, told by
// two locks that both can see: who serves holds one, who is coming up the other. Decides nothing
// but that; no I/O, no clock. Must never wait for a lock.
#ifndef SHELFLINK_HANDOVER_PRESENCE_H_
#define SHELFLINK_HANDOVER_PRESENCE_H_

namespace handover {

// Held from a Take until a Drop or the end of the process.
class Locks {
 public:
  virtual ~Locks() = default;
  virtual bool TakeServing() = 0;  // False: another process has it.
  virtual bool TakeComing() = 0;
  virtual void DropComing() = 0;
};

class Presence {
 public:
  explicit Presence(Locks& locks) : locks_(locks) { Look(); }

  // To be called again and again. Returns whether that changed anything.
  bool Look() {
    const bool was = beside_;
    if (!serving_) serving_ = locks_.TakeServing();
    if (!serving_) {
      if (!coming_) coming_ = locks_.TakeComing();
      beside_ = true;
    } else if (coming_) {
      locks_.DropComing();
      coming_ = false;
      beside_ = false;
    } else {
      // Free: nobody is coming up. Whoever wants it meanwhile looks again.
      const bool free = locks_.TakeComing();
      if (free) locks_.DropComing();
      beside_ = !free;
    }
    return beside_ != was;
  }

  bool beside() const { return beside_; }

 private:
  Locks& locks_;
  bool serving_ = false;
  bool coming_ = false;
  bool beside_ = false;
};

}  // namespace handover

#endif  // SHELFLINK_HANDOVER_PRESENCE_H_
