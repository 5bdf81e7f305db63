/* Prints a course reader and a bulk of chapters through DRMAA 1.0, and waits for both.
 *
 *   cc course_reader.c -I "$(linedeal drmaa-library --header)" "$(linedeal drmaa-library)" -o course_reader
 *   ./course_reader CONTACT
 */
#include <stdio.h>
#include <stdlib.h>

#include "drmaa.h"

static char error[DRMAA_ERROR_STRING_BUFFER];

/* Prints the error and exits if a call failed. */
static void check(int number, const char *what) {
  if (number == DRMAA_ERRNO_SUCCESS) return;
  fprintf(stderr, "%s: %s: %s\n", what, drmaa_strerror(number), error);
  drmaa_exit(NULL, 0);
  exit(1);
}

int main(int count, char **arguments) {
  char job[DRMAA_JOBNAME_BUFFER], done[DRMAA_JOBNAME_BUFFER], text[DRMAA_ATTR_BUFFER];
  const char *argv[] = {"chapter-" DRMAA_PLACEHOLDER_INCR ".pdf", NULL};
  const char *all[] = {DRMAA_JOB_IDS_SESSION_ALL, NULL};
  drmaa_job_template_t *template;
  drmaa_attr_values_t *usage;
  drmaa_job_ids_t *ids;
  int stat, exited, status, ended = 0, state;

  check(drmaa_init(count > 1 ? arguments[1] : NULL, error, sizeof error), "init");
  check(drmaa_allocate_job_template(&template, error, sizeof error), "template");
  check(drmaa_set_attribute(template, DRMAA_REMOTE_COMMAND, "/usr/bin/print", error, sizeof error), "command");
  check(drmaa_set_attribute(template, DRMAA_JOB_CATEGORY, "course-reader", error, sizeof error), "category");
  check(drmaa_set_attribute(template, DRMAA_NATIVE_SPECIFICATION, "service=readers cores=1 memory=1", error,
                            sizeof error), "native specification");
  check(drmaa_set_vector_attribute(template, DRMAA_V_ARGV, argv, error, sizeof error), "arguments");

  check(drmaa_run_job(job, sizeof job, template, error, sizeof error), "run");
  check(drmaa_job_ps(job, &state, error, sizeof error), "ps");
  printf("reader %s state 0x%02x\n", job, state);
  check(drmaa_wait(job, done, sizeof done, &stat, 60, &usage, error, sizeof error), "wait");
  check(drmaa_wifexited(&exited, stat, error, sizeof error), "exited");
  check(drmaa_wexitstatus(&status, stat, error, sizeof error), "status");
  printf("reader done, exited %d status %d\n", exited, status);
  while (drmaa_get_next_attr_value(usage, text, sizeof text) == DRMAA_ERRNO_SUCCESS) printf("  %s\n", text);
  drmaa_release_attr_values(usage);

  check(drmaa_run_bulk_jobs(&ids, template, 1, 5, 2, error, sizeof error), "bulk");
  check(drmaa_synchronize(all, 60, 0, error, sizeof error), "synchronize");
  while (drmaa_get_next_job_id(ids, job, sizeof job) == DRMAA_ERRNO_SUCCESS) {
    check(drmaa_job_ps(job, &state, error, sizeof error), "ps of a chapter");
    ended += state == DRMAA_PS_DONE;
    check(drmaa_wait(job, done, sizeof done, &stat, DRMAA_TIMEOUT_NO_WAIT, NULL, error, sizeof error), "reap");
  }
  drmaa_release_job_ids(ids);
  printf("chapters done %d\n", ended);
  check(drmaa_delete_job_template(template, error, sizeof error), "delete");
  check(drmaa_exit(error, sizeof error), "exit");
  return exited && status == 0 && ended == 3 ? 0 : 1;
}
