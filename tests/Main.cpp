#include <criterion/criterion.h>
#include <criterion/options.h>
#include <cstdio>
#include <cstdlib>

int main(int Count, char *Arguments[]) {
  criterion_test_set *Tests = criterion_initialize();
  int Result = 0;
  if (criterion_handle_args(Count, Arguments, true))
    Result = criterion_run_all_tests(Tests) ? 0 : 1;
  criterion_finalize(Tests);
  // Skips the leak check at exit, because Criterion 2.4.1 leaks 48 bytes in
  // this process. Tests run in processes of their own and are still checked.
  std::fflush(nullptr);
  std::_Exit(Result);
}
