#include "../../lib/io/proxy/HeldBytes.h"
#include <criterion/criterion.h>
#include <list>

using filbertvane::io::proxy::HeldBytes;

// Guards against answers without end that fill the memory of a node together,
// though each of them is bounded.
Test(held_bytes, many_large_answers_take_a_bounded_amount_of_memory) {
  constexpr std::size_t Calls = 1500;
  constexpr std::size_t MostInAll = std::size_t{192} * 1024 * 1024;
  HeldBytes All;
  // Answers grow in turn, each up to what it may hold and queue.
  {
    std::list<HeldBytes::Share> Shares;
    for (std::size_t I = 0; I < Calls; ++I)
      Shares.emplace_back(All);
    constexpr std::size_t Part = std::size_t{16} * 1024;
    for (std::size_t Size = Part; Size <= HeldBytes::MaxHeld; Size += Part)
      for (HeldBytes::Share &Each : Shares)
        if (Size <= Each.maxHeld())
          Each.raiseTo(Size);
    cr_expect(All.total() <= MostInAll, "%zu bytes", All.total());
    cr_expect(Shares.front().maxQueued() == HeldBytes::MaxQueuedWhenScarce);
  }
  // The memory is free again when the calls are over.
  cr_expect(All.total() == 0);
  const HeldBytes::Share Next(All);
  cr_expect(Next.maxHeld() == HeldBytes::MaxHeld);
  cr_expect(Next.maxQueued() == HeldBytes::MaxQueued);
}
