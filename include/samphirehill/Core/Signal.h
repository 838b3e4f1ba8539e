// A list of functions to call when something happens. Parts connect at start
// and live as long as the signal's owner; there is no disconnecting.
#ifndef SAMPHIREHILL_CORE_SIGNAL_H
#define SAMPHIREHILL_CORE_SIGNAL_H

#include <functional>
#include <utility>
#include <vector>

namespace samphirehill {

template <typename... Args> class Signal {
public:
  using Function = std::function<void(Args...)>;

  void connect(Function Added) { Functions.push_back(std::move(Added)); }

  // Calls all functions in the order in which they were connected.
  void emit(const Args &...Values) const {
    for (const Function &Each : Functions)
      Each(Values...);
  }

private:
  std::vector<Function> Functions;
};

} // namespace samphirehill

#endif // SAMPHIREHILL_CORE_SIGNAL_H
