/* The C interface of DRMAA 1.0 (GFD-R.133), implemented by linedeal's library. */
#ifndef DRMAA_H
#define DRMAA_H

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

#define DRMAA_ATTR_BUFFER 1024
#define DRMAA_CONTACT_BUFFER 1024
#define DRMAA_DRM_SYSTEM_BUFFER 1024
#define DRMAA_DRMAA_IMPLEMENTATION_BUFFER 1024
#define DRMAA_ERROR_STRING_BUFFER 1024
#define DRMAA_JOBNAME_BUFFER 1024
#define DRMAA_SIGNAL_BUFFER 32

#define DRMAA_TIMEOUT_WAIT_FOREVER -1
#define DRMAA_TIMEOUT_NO_WAIT 0
#define DRMAA_JOB_IDS_SESSION_ANY "DRMAA_JOB_IDS_SESSION_ANY"
#define DRMAA_JOB_IDS_SESSION_ALL "DRMAA_JOB_IDS_SESSION_ALL"
#define DRMAA_SUBMISSION_STATE_ACTIVE "drmaa_active"
#define DRMAA_SUBMISSION_STATE_HOLD "drmaa_hold"
#define DRMAA_PLACEHOLDER_INCR "$drmaa_incr_ph$"
#define DRMAA_PLACEHOLDER_HD "$drmaa_hd_ph$"
#define DRMAA_PLACEHOLDER_WD "$drmaa_wd_ph$"

#define DRMAA_REMOTE_COMMAND "drmaa_remote_command"
#define DRMAA_JS_STATE "drmaa_js_state"
#define DRMAA_WD "drmaa_wd"
#define DRMAA_JOB_CATEGORY "drmaa_job_category"
#define DRMAA_NATIVE_SPECIFICATION "drmaa_native_specification"
#define DRMAA_BLOCK_EMAIL "drmaa_block_email"
#define DRMAA_START_TIME "drmaa_start_time"
#define DRMAA_JOB_NAME "drmaa_job_name"
#define DRMAA_INPUT_PATH "drmaa_input_path"
#define DRMAA_OUTPUT_PATH "drmaa_output_path"
#define DRMAA_ERROR_PATH "drmaa_error_path"
#define DRMAA_JOIN_FILES "drmaa_join_files"
#define DRMAA_DEADLINE_TIME "drmaa_deadline_time"
#define DRMAA_V_ARGV "drmaa_v_argv"
#define DRMAA_V_ENV "drmaa_v_env"
#define DRMAA_V_EMAIL "drmaa_v_email"

enum {
  DRMAA_ERRNO_SUCCESS, DRMAA_ERRNO_INTERNAL_ERROR, DRMAA_ERRNO_DRM_COMMUNICATION_FAILURE, DRMAA_ERRNO_AUTH_FAILURE,
  DRMAA_ERRNO_INVALID_ARGUMENT, DRMAA_ERRNO_NO_ACTIVE_SESSION, DRMAA_ERRNO_NO_MEMORY,
  DRMAA_ERRNO_INVALID_CONTACT_STRING, DRMAA_ERRNO_DEFAULT_CONTACT_STRING_ERROR,
  DRMAA_ERRNO_NO_DEFAULT_CONTACT_STRING_SELECTED, DRMAA_ERRNO_DRMS_INIT_FAILED, DRMAA_ERRNO_ALREADY_ACTIVE_SESSION,
  DRMAA_ERRNO_DRMS_EXIT_ERROR, DRMAA_ERRNO_INVALID_ATTRIBUTE_FORMAT, DRMAA_ERRNO_INVALID_ATTRIBUTE_VALUE,
  DRMAA_ERRNO_CONFLICTING_ATTRIBUTE_VALUES, DRMAA_ERRNO_TRY_LATER, DRMAA_ERRNO_DENIED_BY_DRM,
  DRMAA_ERRNO_INVALID_JOB, DRMAA_ERRNO_RESUME_INCONSISTENT_STATE, DRMAA_ERRNO_SUSPEND_INCONSISTENT_STATE,
  DRMAA_ERRNO_HOLD_INCONSISTENT_STATE, DRMAA_ERRNO_RELEASE_INCONSISTENT_STATE, DRMAA_ERRNO_EXIT_TIMEOUT,
  DRMAA_ERRNO_NO_RUSAGE, DRMAA_ERRNO_NO_MORE_ELEMENTS, DRMAA_NO_ERRNO
};

enum { DRMAA_CONTROL_SUSPEND, DRMAA_CONTROL_RESUME, DRMAA_CONTROL_HOLD, DRMAA_CONTROL_RELEASE,
       DRMAA_CONTROL_TERMINATE };

enum { DRMAA_PS_UNDETERMINED = 0x00, DRMAA_PS_QUEUED_ACTIVE = 0x10, DRMAA_PS_SYSTEM_ON_HOLD = 0x11,
       DRMAA_PS_USER_ON_HOLD = 0x12, DRMAA_PS_USER_SYSTEM_ON_HOLD = 0x13, DRMAA_PS_RUNNING = 0x20,
       DRMAA_PS_SYSTEM_SUSPENDED = 0x21, DRMAA_PS_USER_SUSPENDED = 0x22, DRMAA_PS_USER_SYSTEM_SUSPENDED = 0x23,
       DRMAA_PS_DONE = 0x30, DRMAA_PS_FAILED = 0x40 };

typedef struct drmaa_job_template_s drmaa_job_template_t;
typedef struct drmaa_attr_names_s drmaa_attr_names_t;
typedef struct drmaa_attr_values_s drmaa_attr_values_t;
typedef struct drmaa_job_ids_s drmaa_job_ids_t;

int drmaa_init(const char *contact, char *error, size_t error_len);
int drmaa_exit(char *error, size_t error_len);
int drmaa_allocate_job_template(drmaa_job_template_t **jt, char *error, size_t error_len);
int drmaa_delete_job_template(drmaa_job_template_t *jt, char *error, size_t error_len);
int drmaa_set_attribute(drmaa_job_template_t *jt, const char *name, const char *value, char *error, size_t error_len);
int drmaa_get_attribute(drmaa_job_template_t *jt, const char *name, char *value, size_t value_len, char *error,
                        size_t error_len);
int drmaa_set_vector_attribute(drmaa_job_template_t *jt, const char *name, const char *value[], char *error,
                               size_t error_len);
int drmaa_get_vector_attribute(drmaa_job_template_t *jt, const char *name, drmaa_attr_values_t **values, char *error,
                               size_t error_len);
int drmaa_get_attribute_names(drmaa_attr_names_t **values, char *error, size_t error_len);
int drmaa_get_vector_attribute_names(drmaa_attr_names_t **values, char *error, size_t error_len);
int drmaa_get_next_attr_name(drmaa_attr_names_t *values, char *value, size_t value_len);
int drmaa_get_next_attr_value(drmaa_attr_values_t *values, char *value, size_t value_len);
int drmaa_get_next_job_id(drmaa_job_ids_t *values, char *value, size_t value_len);
int drmaa_get_num_attr_names(drmaa_attr_names_t *values, size_t *size);
int drmaa_get_num_attr_values(drmaa_attr_values_t *values, size_t *size);
int drmaa_get_num_job_ids(drmaa_job_ids_t *values, size_t *size);
void drmaa_release_attr_names(drmaa_attr_names_t *values);
void drmaa_release_attr_values(drmaa_attr_values_t *values);
void drmaa_release_job_ids(drmaa_job_ids_t *values);
int drmaa_run_job(char *job_id, size_t job_id_len, const drmaa_job_template_t *jt, char *error, size_t error_len);
int drmaa_run_bulk_jobs(drmaa_job_ids_t **jobids, const drmaa_job_template_t *jt, int start, int end, int incr,
                        char *error, size_t error_len);
int drmaa_control(const char *jobid, int action, char *error, size_t error_len);
int drmaa_synchronize(const char *job_ids[], signed long timeout, int dispose, char *error, size_t error_len);
int drmaa_wait(const char *job_id, char *job_id_out, size_t job_id_out_len, int *stat, signed long timeout,
               drmaa_attr_values_t **rusage, char *error, size_t error_len);
int drmaa_wifexited(int *exited, int stat, char *error, size_t error_len);
int drmaa_wexitstatus(int *exit_status, int stat, char *error, size_t error_len);
int drmaa_wifsignaled(int *signaled, int stat, char *error, size_t error_len);
int drmaa_wtermsig(char *signal, size_t signal_len, int stat, char *error, size_t error_len);
int drmaa_wcoredump(int *core_dumped, int stat, char *error, size_t error_len);
int drmaa_wifaborted(int *aborted, int stat, char *error, size_t error_len);
int drmaa_job_ps(const char *job_id, int *remote_ps, char *error, size_t error_len);
const char *drmaa_strerror(int drmaa_errno);
int drmaa_get_contact(char *contact, size_t contact_len, char *error, size_t error_len);
int drmaa_version(unsigned int *major, unsigned int *minor, char *error, size_t error_len);
int drmaa_get_DRM_system(char *system, size_t system_len, char *error, size_t error_len);
int drmaa_get_DRMAA_implementation(char *implementation, size_t implementation_len, char *error, size_t error_len);

#ifdef __cplusplus
}
#endif
#endif
