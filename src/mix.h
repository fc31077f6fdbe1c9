// Numbers that look random and follow from a seed alone: equal at every start, on every machine.
#ifndef GAUGECART_MIX_H_
#define GAUGECART_MIX_H_

#include <cstdint>
#include <string_view>

namespace gaugecart {

constexpr std::uint64_t kMixStep = 0x9e3779b97f4a7c15ULL;

// SplitMix64: called on a state that goes on by kMixStep it is that generator.
constexpr std::uint64_t Mix(std::uint64_t x) {
  x += kMixStep;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

// From 0 up to and without 1.
constexpr double Unit(std::uint64_t x) { return static_cast<double>(x >> 11) * 0x1.0p-53; }

constexpr std::uint64_t kFnvBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

// FNV-1a of 64 bits: the same on every machine. What is hashed in parts goes on from the last.
constexpr std::uint64_t Fnv1a(std::string_view text, std::uint64_t hash = kFnvBasis) {
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * kFnvPrime;
  return hash;
}

}  // namespace gaugecart

#endif  // GAUGECART_MIX_H_
