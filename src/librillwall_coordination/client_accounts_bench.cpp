/// \file
/// Cost of finding the account of a key, by the number of keys.

#include <benchmark/benchmark.h>

#include "rillwall/client_accounts.h"

namespace rillwall {

namespace {

constexpr int64_t kKeysPerAccount = 2;

void FindAccount(benchmark::State& aState) {
  std::vector<ClientAccount> accounts;
  std::vector<std::string> keys;
  for (int64_t i = 0; i < aState.range(0); ++i) {
    const std::string key = "8m82thhkmgjqnirt" + std::to_string(i);
    if (i % kKeysPerAccount == 0) {
      accounts.push_back({"account" + std::to_string(i), std::nullopt, {}});
    }
    accounts.back().mKeys.push_back(DigestOfKey(key));
    keys.push_back(key);
  }
  const AccountTable table(std::move(accounts));
  size_t at = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(table.Find(keys[at]));
    at = at + 1 == keys.size() ? 0 : at + 1;
  }
}

BENCHMARK(FindAccount)->Arg(80)->Arg(10000);

}  // namespace

}  // namespace rillwall

BENCHMARK_MAIN();
