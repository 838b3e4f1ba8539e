#include "loadtool/Plan.h"

#include "samphirehill/Core/Hash.h"

#include <algorithm>
#include <cmath>
#include <random>
#include <stdexcept>

namespace samphirehill::loadtool {
namespace {

using Json = nlohmann::json;
using Random = std::mt19937_64;

Range rangeAt(const Json &Object, const char *Name, Range Default) {
  auto Found = Object.find(Name);
  if (Found == Object.end())
    return Default;
  Range Value{Found->at(0).get<std::int64_t>(),
              Found->at(1).get<std::int64_t>()};
  if (Value.Low < 1 || Value.High < Value.Low)
    throw std::invalid_argument(std::string(Name) +
                                " must be [low, high] with 1 <= low <= high");
  return Value;
}

CallerPlan callerFrom(const Json &Object) {
  CallerPlan Value;
  Value.Name = Object.at("name").get<std::string>();
  Value.Key = Object.value("key", Value.Key);
  Value.Share = Object.value("share", Value.Share);
  Value.Model = Object.value("model", Value.Model);
  Value.Version = Object.value("version", Value.Version);
  Value.Adapter = Object.value("adapter", Value.Adapter);
  Value.PromptBytes = rangeAt(Object, "promptBytes", Value.PromptBytes);
  Value.Tokens = rangeAt(Object, "tokens", Value.Tokens);
  Value.Prefixes = Object.value("prefixes", Value.Prefixes);
  Value.Priorities = Object.value("priorities", Value.Priorities);
  Value.DeadlineMs = Object.value("deadlineMs", Value.DeadlineMs);
  Value.BookingShare = Object.value("bookingShare", Value.BookingShare);
  Value.RepeatedBookings =
      Object.value("repeatedBookings", Value.RepeatedBookings);
  Value.BookingPath = Object.value("bookingPath", Value.BookingPath);
  if (auto Peak = Object.find("surge"); Peak != Object.end())
    Value.Peak = {milliseconds(Peak->at("fromMs").get<std::int64_t>()),
                  milliseconds(Peak->at("toMs").get<std::int64_t>()),
                  Peak->at("factor").get<double>()};
  if (Value.Share <= 0 || Value.Priorities.empty())
    throw std::invalid_argument("caller \"" + Value.Name +
                                "\" needs a share above 0 and a priority");
  return Value;
}

std::string letters(Random &Source, std::int64_t Bytes) {
  std::string Text;
  Text.reserve(static_cast<std::size_t>(Bytes));
  std::uint64_t Bits = 0;
  for (std::int64_t I = 0; I < Bytes; ++I) {
    if (I % 12 == 0)
      Bits = Source();
    Text += static_cast<char>('a' + (Bits & 15U));
    Bits >>= 4U;
  }
  return Text;
}

double uniform(Random &Source) {
  return std::uniform_real_distribution<double>(0, 1)(Source);
}

std::int64_t within(Random &Source, Range Bounds) {
  return std::uniform_int_distribution<std::int64_t>(Bounds.Low,
                                                     Bounds.High)(Source);
}

std::string priority(Random &Source, const CallerPlan &Caller) {
  double Sum = 0;
  for (const auto &[Name, Weight] : Caller.Priorities)
    Sum += Weight;
  double Left = uniform(Source) * Sum;
  for (const auto &[Name, Weight] : Caller.Priorities) {
    Left -= Weight;
    if (Left <= 0)
      return Name;
  }
  return Caller.Priorities.rbegin()->first;
}

// The texts with which this caller's prompts begin: half of their bytes.
std::vector<std::string> prefixesOf(const CallerPlan &Caller,
                                    std::uint64_t Seed) {
  Random Source(Seed);
  std::vector<std::string> Texts;
  for (std::int64_t I = 0; I < Caller.Prefixes; ++I)
    Texts.push_back(letters(Source, Caller.PromptBytes.High / 2));
  return Texts;
}

} // namespace

LoadPlan planFromJson(const Json &Value) {
  LoadPlan Plan;
  Plan.Entries = Value.at("entries").get<std::vector<std::string>>();
  Plan.Direct = Value.value("direct", false);
  Plan.ModelTries = Value.value("modelTries", Plan.ModelTries);
  Plan.BookingTries = Value.value("bookingTries", Plan.BookingTries);
  for (const Json &Each : Value.at("organisations"))
    Plan.Callers.push_back(callerFrom(Each));
  if (Plan.Entries.empty() || Plan.Callers.empty())
    throw std::invalid_argument("a plan needs entries and organisations");
  return Plan;
}

std::vector<Arrival> schedule(const LoadPlan &Plan, double Rate,
                              Duration Length, std::uint64_t Seed) {
  double Shares = 0;
  for (const CallerPlan &Each : Plan.Callers)
    Shares += Each.Share;
  std::vector<Arrival> Arrivals;
  for (std::size_t Index = 0; Index < Plan.Callers.size(); ++Index) {
    const CallerPlan &Caller = Plan.Callers[Index];
    std::uint64_t Own = combineHashes(Seed, hashBytes(Caller.Name));
    std::vector<std::string> Prefixes = prefixesOf(Caller, Own);
    Random Source(combineHashes(Own, 1));
    double Quiet = Rate * Caller.Share / Shares;
    double Highest = Quiet * std::max(1.0, Caller.Peak.Factor);
    double Seconds = 0;
    while (true) {
      Seconds += -std::log(1 - uniform(Source)) / Highest;
      Duration At(static_cast<std::int64_t>(Seconds * 1e6));
      if (At >= Length)
        break;
      bool Peak = At >= Caller.Peak.From && At < Caller.Peak.To;
      // Thinning: candidates come at the highest rate of the caller.
      if (uniform(Source) * Highest > Quiet * (Peak ? Caller.Peak.Factor : 1.0))
        continue;
      Arrival Next;
      Next.At = At;
      Next.Caller = Index;
      Next.Entry = Source() % Plan.Entries.size();
      Next.Booking = uniform(Source) < Caller.BookingShare;
      Next.Repeated = uniform(Source) < Caller.RepeatedBookings;
      std::int64_t Bytes = within(Source, Caller.PromptBytes);
      if (!Prefixes.empty())
        Next.Prompt = Prefixes[Source() % Prefixes.size()];
      Next.Prompt += letters(
          Source, std::max<std::int64_t>(16, Bytes - static_cast<std::int64_t>(
                                                         Next.Prompt.size())));
      Next.Tokens = within(Source, Caller.Tokens);
      Next.Priority = priority(Source, Caller);
      Arrivals.push_back(std::move(Next));
    }
  }
  std::ranges::stable_sort(Arrivals, {}, &Arrival::At);
  for (std::size_t I = 0; I < Arrivals.size(); ++I)
    Arrivals[I].Number = I;
  return Arrivals;
}

} // namespace samphirehill::loadtool
